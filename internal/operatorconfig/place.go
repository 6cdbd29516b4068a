package operatorconfig

import (
	"fmt"

	"github.com/pelletier/go-toml/v2/unstable"

	"starlingwinch/internal/configerror"
)

// place finds the lines and columns of faults by their paths. The library's decoder keeps no places, so this walks
// over its syntax tree, and only once something is wrong. That part of the library may change; should it ever
// give no places, faults go without.
func place(raw []byte, faults []configerror.Error) {
	wanted := map[string][]int{}
	for i, f := range faults {
		if f.Line == 0 {
			wanted[f.Field] = append(wanted[f.Field], i)
		}
	}
	w := walker{raw: raw, faults: faults, wanted: wanted, entries: map[string]int{}}
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

type walker struct {
	raw     []byte
	faults  []configerror.Error
	wanted  map[string][]int // faults by path
	entries map[string]int   // of the lists of tables so far, by path
}

// key marks the keys of a node and returns the path of the last. A list of tables means its entry of the moment.
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

// value marks what stands in a list or a table inside a line.
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

// mark gives the faults at a path their place, unless they have one: the first place counts.
func (w *walker) mark(path string, offset uint32) {
	for _, i := range w.wanted[path] {
		if w.faults[i].Line == 0 {
			w.faults[i].Line, w.faults[i].Column = configerror.Position(w.raw, int(offset))
		}
	}
}
