// Package seam holds the check that the router takes all that it takes from its machine by the
// one seam, package machine. It reads the syntax trees of the packages that run on a virtual machine too, where
// a clock, a goroutine or the order of a map that slips in makes equal seeds give different runs.
package seam

import (
	"fmt"
	"go/ast"
	"go/importer"
	"go/parser"
	"go/token"
	"go/types"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// virtual are the packages that run on a virtual machine.
var virtual = []string{"decide", "internal/router", "internal/frontend", "internal/upstream", "internal/discovery",
	"internal/eureka", "internal/httpclient", "internal/testbench/httpserver", "internal/endpoints", "internal/endpointsource", "internal/aperture",
	"internal/resp", "internal/guard", "internal/testbench/rules", "internal/testbench/standin", "internal/testbench/standin/registry", "internal/testbench/sim",
	"internal/hooks", "internal/hooks/policy", "internal/hooks/hookstest",
	"internal/snapshot", "internal/snapshotstore"}

// forbidden are the calls that only the machine's real side may make, by package.
var forbidden = map[string][]string{
	"time":         {"Now", "After", "AfterFunc", "NewTimer", "NewTicker", "Tick", "Sleep", "Since", "Until"},
	"net":          nil, // all of it
	"net/http":     {"Get", "Post", "Head", "ListenAndServe", "Serve", "DefaultClient", "NewServeMux", "Client", "Server", "Transport"},
	"os":           nil,
	"os/signal":    nil,
	"log":          nil,
	"syscall":      nil,
	"math/rand":    nil,
	"math/rand/v2": {"Int", "IntN", "Int64", "Int64N", "Uint32", "Uint64", "Float64", "Perm", "Shuffle", "NormFloat64", "ExpFloat64", "N"},
	"crypto/rand":  nil,
	"sync":         nil,
	"sync/atomic":  nil,
	"runtime":      nil,
}

// exempt are files whose package runs on a virtual machine but that are for the program alone.
var exempt = map[string]string{
	"internal/router/limits.go": "tells the runtime what the machine has, before it starts",
}

// anyOrder marks a loop over a map whose order can't be seen.
const anyOrder = "any order"

// finding is one place that goes past the seam.
type finding struct {
	at   token.Position
	what string
}

func (f finding) String() string { return fmt.Sprintf("%s:%d: %s", f.at.Filename, f.at.Line, f.what) }

// check reads the packages in one folder, tests left out. The importer may be nil: then loops over maps
// are not found.
func check(fset *token.FileSet, dir string, imp types.Importer, skip func(file string) bool) ([]finding, error) {
	names, err := filepath.Glob(filepath.Join(dir, "*.go"))
	if err != nil {
		return nil, err
	}
	var files []*ast.File
	for _, name := range names {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		f, err := parser.ParseFile(fset, name, nil, parser.ParseComments)
		if err != nil {
			return nil, err
		}
		files = append(files, f)
	}
	info := &types.Info{Types: map[ast.Expr]types.TypeAndValue{}}
	if imp != nil {
		if _, err := (&types.Config{Importer: imp}).Check(dir, fset, files, info); err != nil {
			return nil, err
		}
	}
	var found []finding
	for _, f := range files {
		if !skip(fset.Position(f.Pos()).Filename) {
			found = append(found, past(fset, f, info)...)
		}
	}
	return found, nil
}

// past lists what goes past the seam in one file.
func past(fset *token.FileSet, f *ast.File, info *types.Info) (found []finding) {
	say := func(n ast.Node, what string) { found = append(found, finding{fset.Position(n.Pos()), what}) }
	names := map[string]string{}
	for _, imp := range f.Imports {
		path := strings.Trim(imp.Path.Value, `"`)
		name := path[strings.LastIndex(path, "/")+1:]
		if strings.HasPrefix(name, "v") && path != name {
			name = strings.Split(path, "/")[len(strings.Split(path, "/"))-2]
		}
		if imp.Name != nil {
			name = imp.Name.Name
		}
		names[name] = path
		if calls, watched := forbidden[path]; watched && calls == nil {
			say(imp, "imports "+path)
		}
	}
	marked := map[int]bool{} // lines with a word on their order
	for _, group := range f.Comments {
		for _, c := range group.List {
			if strings.Contains(c.Text, anyOrder) {
				marked[fset.Position(c.Pos()).Line] = true
			}
		}
	}
	ast.Inspect(f, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.GoStmt:
			say(n, "starts a goroutine")
		case *ast.SelectStmt:
			say(n, "selects")
		case *ast.ChanType:
			say(n, "has a channel")
		case *ast.SelectorExpr:
			if id, ok := n.X.(*ast.Ident); ok {
				for _, call := range forbidden[names[id.Name]] {
					if n.Sel.Name == call {
						say(n, "uses "+names[id.Name]+"."+call)
					}
				}
			}
		case *ast.RangeStmt:
			t := info.Types[n.X].Type
			if t == nil {
				break
			}
			line := fset.Position(n.Pos()).Line
			if _, isMap := t.Underlying().(*types.Map); isMap && !marked[line] && !marked[line-1] {
				say(n, "ranges over a map: sort its keys, or say in a comment why it may take them in "+anyOrder)
			}
		}
		return true
	})
	return found
}

func TestOnlyTheMachineTakesFromTheMachine(t *testing.T) {
	t.Chdir(filepath.Join("..", "..", ".."))
	fset := token.NewFileSet()
	imp := importer.ForCompiler(fset, "source", nil)
	for _, dir := range virtual {
		found, err := check(fset, dir, imp, func(file string) bool { return exempt[filepath.ToSlash(file)] != "" })
		if err != nil {
			t.Fatal(err)
		}
		for _, f := range found {
			t.Error(f)
		}
	}
	for file := range exempt {
		if _, err := os.Stat(file); err != nil {
			t.Errorf("an exemption for what is not there: %v", err)
		}
	}
}

// TestWhatGoesPastTheSeamIsFound: the check can fail.
func TestWhatGoesPastTheSeamIsFound(t *testing.T) {
	const bad = `package bad

import (
	"math/rand/v2"
	"net"
	"time"
)

func f(m map[int]int) int {
	go f(nil)
	c := make(chan int)
	select {
	case <-c:
	default:
	}
	time.Sleep(time.Until(time.Now()))
	net.Dial("tcp", "")
	for k := range m {
		return k
	}
	for range m { // any order: only counted
	}
	return rand.IntN(5)
}
`
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "bad.go"), []byte(bad), 0o600); err != nil {
		t.Fatal(err)
	}
	fset := token.NewFileSet()
	found, err := check(fset, dir, importer.ForCompiler(fset, "source", nil), func(string) bool { return false })
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, f := range found {
		got = append(got, fmt.Sprint(f.at.Line, " ", strings.Fields(f.what)[0]))
	}
	want := "5 imports,10 starts,11 has,12 selects,16 uses,16 uses,16 uses,18 ranges,23 uses"
	if text := strings.Join(got, ","); text != want {
		t.Errorf("found %s\nwant  %s", text, want)
	}
}
