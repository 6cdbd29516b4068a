// Package layout holds the checks of where code stands and of the pages that name it: the daemon imports nothing that only
// plays or measures routers, and every name in the glossary is declared.
package layout

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

const (
	module    = "starlingwinch"
	testbench = module + "/internal/testbench"
	root      = "../../.."
)

// parseFolder reads the files of one package folder, tests left out.
func parseFolder(t *testing.T, folder string, mode parser.Mode) []*ast.File {
	t.Helper()
	names, err := filepath.Glob(filepath.Join(root, folder, "*.go"))
	if err != nil || len(names) == 0 {
		t.Fatalf("no Go files in %s (%v)", folder, err)
	}
	var files []*ast.File
	for _, name := range names {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), name, nil, mode)
		if err != nil {
			t.Fatal(err)
		}
		files = append(files, file)
	}
	return files
}

// imports returns the project's packages that a package needs, itself included, each with the package that imports it.
func imports(t *testing.T, pkg string) map[string]string {
	t.Helper()
	importer := map[string]string{pkg: ""}
	for queue := []string{pkg}; len(queue) > 0; queue = queue[1:] {
		for _, file := range parseFolder(t, strings.TrimPrefix(queue[0], module+"/"), parser.ImportsOnly) {
			for _, spec := range file.Imports {
				imported := strings.Trim(spec.Path.Value, `"`)
				if _, known := importer[imported]; known || !strings.HasPrefix(imported, module+"/") {
					continue
				}
				importer[imported] = queue[0]
				queue = append(queue, imported)
			}
		}
	}
	return importer
}

func TestProgramsImportNoTestbench(t *testing.T) {
	for _, program := range []string{"cmd/starlingwinch", "cmd/simhost", "decide"} {
		t.Run(program, func(t *testing.T) {
			for imported, importer := range imports(t, module+"/"+program) { // any order: each by itself
				if strings.HasPrefix(imported, testbench) {
					t.Errorf("%s imports %s", importer, imported)
				}
			}
		})
	}
}

func TestLabImportsTestbench(t *testing.T) {
	if _, found := imports(t, module+"/cmd/lab")[testbench+"/sim"]; !found {
		t.Error("the walk over imports does not find the virtual machine below cmd/lab")
	}
}

// nodeKey is the deploy file's list of the files and folders of the real router.
var nodeKey = regexp.MustCompile(`(?m)^node = \[(.*)\]$`)

// nodeFolders returns the folders of the deploy file's node key.
func nodeFolders(t *testing.T) []string {
	t.Helper()
	file, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		t.Fatal(err)
	}
	match := nodeKey.FindSubmatch(file)
	if match == nil {
		t.Fatal("deploy/balancer.toml has no node key")
	}
	var folders []string
	for name := range strings.SplitSeq(string(match[1]), ",") {
		folders = append(folders, strings.Trim(name, ` "`))
	}
	return folders
}

func TestDeployFileNamesTheDaemonsPackages(t *testing.T) {
	folders := nodeFolders(t)
	needed := imports(t, module+"/cmd/starlingwinch")
	for pkg := range needed { // any order: each by itself
		folder := strings.TrimPrefix(pkg, module+"/")
		covered := folder == "decide" // its files are the policy key's
		for _, name := range folders {
			covered = covered || folder == name || strings.HasPrefix(folder, name+"/")
		}
		if !covered {
			t.Errorf("node in deploy/balancer.toml does not name %s", folder)
		}
	}
	for _, name := range folders {
		if _, imported := needed[module+"/"+name]; !imported {
			t.Errorf("node in deploy/balancer.toml names %s, which the daemon does not import", name)
		}
	}
}

// declared returns the names that a package declares: of objects, and of types' fields and methods as Type.Member.
func declared(t *testing.T, folder string) map[string]bool {
	t.Helper()
	names := map[string]bool{}
	for _, file := range parseFolder(t, folder, parser.SkipObjectResolution) {
		for _, declaration := range file.Decls {
			switch declaration := declaration.(type) {
			case *ast.FuncDecl:
				names[receiver(declaration)+declaration.Name.Name] = true
			case *ast.GenDecl:
				for _, spec := range declaration.Specs {
					addSpec(names, spec)
				}
			}
		}
	}
	return names
}

// receiver returns "Type." for a method and nothing for a function.
func receiver(function *ast.FuncDecl) string {
	if function.Recv == nil {
		return ""
	}
	kind := function.Recv.List[0].Type
	if star, ok := kind.(*ast.StarExpr); ok {
		kind = star.X
	}
	if generic, ok := kind.(*ast.IndexExpr); ok {
		kind = generic.X
	}
	if name, ok := kind.(*ast.Ident); ok {
		return name.Name + "."
	}
	return ""
}

func addSpec(names map[string]bool, spec ast.Spec) {
	switch spec := spec.(type) {
	case *ast.ValueSpec:
		for _, name := range spec.Names {
			names[name.Name] = true
		}
	case *ast.TypeSpec:
		names[spec.Name.Name] = true
		fields, ok := spec.Type.(*ast.StructType)
		if !ok {
			return
		}
		for _, field := range fields.Fields.List {
			for _, name := range field.Names {
				names[spec.Name.Name+"."+name.Name] = true
			}
		}
	}
}

var (
	codeName    = regexp.MustCompile("`([A-Za-z]+(?:\\.[A-Za-z]+)+)`")
	packageName = regexp.MustCompile("package `([a-z/]+)`|packages `([a-z/]+)`, `([a-z/]+)`")
)

// glossaryRows returns the third column of the glossary's tables of terms.
func glossaryRows(t *testing.T) []string {
	t.Helper()
	page, err := os.ReadFile(filepath.Join(root, "docs", "GLOSSARY.md"))
	if err != nil {
		t.Fatal(err)
	}
	terms, _, _ := strings.Cut(string(page), "## Packages that were renamed")
	var cells []string
	for line := range strings.Lines(terms) {
		if columns := strings.Split(line, "|"); len(columns) == 6 {
			cells = append(cells, columns[3])
		}
	}
	if len(cells) < 40 {
		t.Fatalf("the glossary has %d rows of terms", len(cells))
	}
	return cells
}

// TestGlossaryNamesExist holds the glossary to the code: pkg.Name, pkg.Type.Member, and Type.Member of decide.
func TestGlossaryNamesExist(t *testing.T) {
	inDecide := declared(t, "decide")
	for _, cell := range glossaryRows(t) {
		for _, match := range codeName.FindAllStringSubmatch(cell, -1) {
			name := match[1]
			if first, rest, _ := strings.Cut(name, "."); first == strings.ToLower(first) {
				folder := path.Join("internal", first)
				if first == "decide" {
					folder = first
				}
				if !declared(t, folder)[rest] {
					t.Errorf("%s is not declared", name)
				}
				continue
			}
			if !inDecide[name] && !declared(t, "internal/router")[name] {
				t.Errorf("%s is declared neither in decide nor in router", name)
			}
		}
		for _, match := range packageName.FindAllStringSubmatch(cell, -1) {
			for _, name := range match[1:] {
				if name != "" {
					parseFolder(t, path.Join("internal", name), parser.PackageClauseOnly)
				}
			}
		}
	}
}
