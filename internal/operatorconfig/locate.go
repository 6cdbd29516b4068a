package operatorconfig

import (
	"fmt"

	"github.com/pelletier/go-toml/v2/unstable"

	"starlingwinch/internal/configerror"
)

// locate sets the lines and columns of errors by their paths. The library's decoder has no positions, so this walks over its
// syntax tree, which is an unstable part of the library: an error for which it gives no position goes without one.
func locate(raw []byte, errors []configerror.Error) {
	wanted := map[string][]int{}
	for i, e := range errors {
		if e.Line == 0 {
			wanted[e.Field] = append(wanted[e.Field], i)
		}
	}
	w := walker{raw: raw, errors: errors, wanted: wanted, entries: map[string]int{}}
	var p unstable.Parser
	p.Reset(raw)
	table := ""
	for p.NextExpression() {
		switch node := p.Expression(); node.Kind {
		case unstable.Table:
			table = w.key("", node, false)
		case unstable.ArrayTable:
			table = w.key("", node, true)
		case unstable.KeyValue:
			w.value(w.key(table, node, false), node.Value())
		}
	}
}

// walker walks over the syntax tree of a file.
type walker struct {
	raw     []byte
	errors  []configerror.Error
	wanted  map[string][]int // indices of the errors without a position, by path
	entries map[string]int   // numbers of entries so far of lists of tables, by path
}

// key marks the keys of a node and returns the path of the last one. The key of a list of tables stands for its latest entry.
func (w *walker) key(at string, node *unstable.Node, entry bool) string {
	for it := node.Key(); it.Next(); {
		part := it.Node()
		at = joined(at, configerror.Plain(string(part.Data)))
		if entry && it.IsLast() {
			w.entries[at]++
		}
		w.mark(at, part.Raw.Offset)
		if n := w.entries[at]; n > 0 {
			at = fmt.Sprintf("%s[%d]", at, n-1)
			w.mark(at, part.Raw.Offset)
		}
	}
	return at
}

// value marks the items of a list and the keys of a table that are written inline.
func (w *walker) value(at string, node *unstable.Node) {
	switch node.Kind {
	case unstable.Array:
		i := 0
		for it := node.Children(); it.Next(); i++ {
			path := fmt.Sprintf("%s[%d]", at, i)
			if item := it.Node(); item.Raw.Length > 0 {
				w.mark(path, item.Raw.Offset)
			}
			w.value(path, it.Node())
		}
	case unstable.InlineTable:
		for it := node.Children(); it.Next(); {
			w.value(w.key(at, it.Node(), false), it.Node().Value())
		}
	}
}

// mark sets the position of the errors at a path. The first position counts.
func (w *walker) mark(path string, offset uint32) {
	for _, i := range w.wanted[path] {
		if w.errors[i].Line == 0 {
			w.errors[i].Line, w.errors[i].Column = configerror.Position(w.raw, int(offset))
		}
	}
}
