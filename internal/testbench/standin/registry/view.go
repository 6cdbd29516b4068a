package registry

import (
	"cmp"
	"encoding/json"
	"slices"
	"strconv"
	"strings"
)

// item is an instance as it was at a moment.
type item struct {
	*Instance
	Lease
}

// view is what callers are shown, at a moment. It does not change.
type view struct {
	version int64
	all     []item // by app and id
	delta   []item // what changed of late, each instance once, in the order of their last changes
	bodies  map[string]rendered
	byID    map[string]*Instance // nil until it is asked for
}

// rendered is an answer's body; packed is nil until it is asked for.
type rendered struct{ plain, packed []byte }

// currentView is the state as it is now, without what this replica is to drop.
func (r *Registry) currentView() *view {
	r.sweep()
	if r.latest != nil && r.latest.version == r.version {
		return r.latest
	}
	v := &view{version: r.version, bodies: map[string]rendered{}}
	for _, l := range r.leases {
		if !r.faults.hidden[l.ID] {
			v.all = append(v.all, item{l.Instance, l.Lease})
		}
	}
	seen := map[string]bool{}
	for _, q := range slices.Backward(r.deltaQueue) {
		key := q.item.App + "/" + q.item.ID
		if !seen[key] && !r.faults.hidden[q.item.ID] {
			v.delta = append(v.delta, q.item)
		}
		seen[key] = true
	}
	slices.Reverse(v.delta)
	r.latest = v
	return v
}

// visibleView is what callers see of lists.
func (r *Registry) visibleView() *view {
	switch {
	case r.faults.stale != nil:
		return r.faults.stale
	case r.cached != nil:
		return r.cached
	}
	return r.currentView()
}

// Shows is an instance as a whole list has it now; false where it does not stand there.
func (r *Registry) Shows(id string) (Instance, bool) {
	v := r.visibleView()
	if v.byID == nil {
		v.byID = make(map[string]*Instance, len(v.all))
		for _, i := range v.all {
			v.byID[i.ID] = i.Instance
		}
	}
	in := v.byID[id]
	if in == nil {
		return Instance{}, false
	}
	return *in, true
}

// visibleInstance is what callers see of a single instance; the response cache does not hold those.
func (r *Registry) visibleInstance(match func(*Instance) bool) (item, bool) {
	v := r.faults.stale
	if v == nil {
		v = r.currentView()
	}
	at := slices.IndexFunc(v.all, func(i item) bool { return match(i.Instance) })
	if at < 0 {
		return item{}, false
	}
	return v.all[at], true
}

// HashCode is the hash that goes with a list: how many instances have each status, in order of the
// statuses' names.
func HashCode(all []Instance) string {
	count := map[string]int{}
	for _, in := range all {
		count[in.Status]++
	}
	var names []string
	for name := range count { // any order: they are sorted
		names = append(names, name)
	}
	slices.Sort(names)
	var b strings.Builder
	for _, name := range names {
		b.WriteString(name + "_" + strconv.Itoa(count[name]) + "_")
	}
	return b.String()
}

func hashOf(items []item) string {
	all := make([]Instance, 0, len(items))
	for _, i := range items {
		all = append(all, *i.Instance)
	}
	return HashCode(all)
}

// wireApp is an application in JSON.
type wireApp struct {
	Name     string `json:"name"`
	Instance any    `json:"instance"`
}

type wireApps struct {
	Version string `json:"versions__delta"`
	Hash    string `json:"apps__hashcode"`
	App     any    `json:"application"`
}

// listOf is a list as answers have it.
func listOf[T any](r *Registry, list []T) any {
	if r.options.UnwrapSingle && len(list) == 1 {
		return list[0]
	}
	return list
}

func (r *Registry) app(name string, items []item) wireApp {
	list := make([]wireInstance, 0, len(items))
	for _, i := range items {
		list = append(list, i.Instance.wire(i.Lease, r.options.OldNames))
	}
	return wireApp{name, listOf(r, list)}
}

// applications is the JSON of a list of instances, by their applications.
func (r *Registry) applications(items []item, version int64, hash string) []byte {
	items = slices.Clone(items)
	slices.SortStableFunc(items, func(a, b item) int { return cmp.Compare(a.App, b.App) })
	apps := []wireApp{}
	for len(items) > 0 {
		name := items[0].App
		end := slices.IndexFunc(items, func(i item) bool { return i.App != name })
		if end < 0 {
			end = len(items)
		}
		apps = append(apps, r.app(name, items[:end]))
		items = items[end:]
	}
	return encode(map[string]any{"applications": wireApps{strconv.FormatInt(version, 10), hash, listOf(r, apps)}})
}

func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil { // of plain structures
		panic(err)
	}
	return b
}
