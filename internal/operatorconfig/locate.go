package operatorconfig

import (
	"fmt"

	"github.com/pelletier/go-toml/v2/unstable"

	"starlingwinch/internal/configerror"
)

// locate sets the lines and columns of errors by their paths. The decoder of the TOML library reports no positions, so locate
// walks the syntax tree, which is part of the library's unstable API. An error whose path is not in the tree stays without a position.
func locate(raw []byte, errors []configerror.Error) {
	byPath := map[string][]int{}
	for i, e := range errors {
		if e.Line == 0 {
			byPath[e.Field] = append(byPath[e.Field], i)
		}
	}
	w := walker{raw: raw, errors: errors, byPath: byPath, entries: map[string]int{}}
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

// walker walks the syntax tree of a file and sets the positions of errors.
type walker struct {
	raw     []byte
	errors  []configerror.Error
	byPath  map[string][]int // indices of the errors without a position, by path
	entries map[string]int   // number of entries read of each list of tables, by path
}

// key sets the positions of errors at the keys of a node and returns the path of the node's last key. The key of a list of tables
// refers to the most recent entry of the list; if isEntry is set, the last key begins a new entry.
func (w *walker) key(path string, node *unstable.Node, isEntry bool) string {
	for it := node.Key(); it.Next(); {
		part := it.Node()
		path = joinPath(path, configerror.QuoteIfNeeded(string(part.Data)))
		if isEntry && it.IsLast() {
			w.entries[path]++
		}
		w.setPosition(path, part.Raw.Offset)
		if n := w.entries[path]; n > 0 {
			path = fmt.Sprintf("%s[%d]", path, n-1)
			w.setPosition(path, part.Raw.Offset)
		}
	}
	return path
}

// value sets the positions of errors inside a value: in the items of a list and in the keys of an inline table.
func (w *walker) value(path string, node *unstable.Node) {
	switch node.Kind {
	case unstable.Array:
		i := 0
		for it := node.Children(); it.Next(); i++ {
			itemPath := fmt.Sprintf("%s[%d]", path, i)
			if item := it.Node(); item.Raw.Length > 0 {
				w.setPosition(itemPath, item.Raw.Offset)
			}
			w.value(itemPath, it.Node())
		}
	case unstable.InlineTable:
		for it := node.Children(); it.Next(); {
			w.value(w.key(path, it.Node(), false), it.Node().Value())
		}
	}
}

// setPosition sets the position of the errors at a path. An error that already has a position keeps it.
func (w *walker) setPosition(path string, offset uint32) {
	for _, i := range w.byPath[path] {
		if w.errors[i].Line == 0 {
			w.errors[i].Line, w.errors[i].Column = configerror.Position(w.raw, int(offset))
		}
	}
}
