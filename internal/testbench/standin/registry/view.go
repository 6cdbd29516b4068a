package registry

import (
	"cmp"
	"encoding/json"
	"slices"
	"strconv"
	"strings"
)

// item is an instance with its lease as it was at an instant.
type item struct {
	*Instance
	Lease
}

// view is what callers are shown of the state at an instant. Only its rendered bodies are added later.
type view struct {
	version int64                // of the state
	all     []item               // by app and id
	delta   []item               // recent changes, one for each instance, in order of their last changes
	bodies  map[string]rendered  // by kind of answer
	byID    map[string]*Instance // nil before the first call of Shows
}

// rendered is the body of an answer.
type rendered struct {
	plain  []byte
	packed []byte // compressed; nil before the first client that accepts it
}

// currentView returns the present state, without the instances that a fault hides.
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

// visibleView returns the view that lists are read from.
func (r *Registry) visibleView() *view {
	switch {
	case r.faults.stale != nil:
		return r.faults.stale
	case r.cached != nil:
		return r.cached
	}
	return r.currentView()
}

// Shows returns an instance as the whole list has it now, and whether it is in the list.
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

// visibleInstance returns the first instance that matches, as callers see single instances: past the response cache.
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

// HashCode returns the hash of a list: the number of instances with each status, in the order of the statuses' names.
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

// hashOf returns the hash of items.
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

// wireApps is a list of applications in JSON.
type wireApps struct {
	Version string `json:"versions__delta"`
	Hash    string `json:"apps__hashcode"`
	App     any    `json:"application"`
}

// listOf returns a list as answers have it; see Options.UnwrapSingle.
func listOf[T any](r *Registry, list []T) any {
	if r.options.UnwrapSingle && len(list) == 1 {
		return list[0]
	}
	return list
}

// app returns an application with its instances.
func (r *Registry) app(name string, items []item) wireApp {
	list := make([]wireInstance, 0, len(items))
	for _, i := range items {
		list = append(list, i.Instance.wire(i.Lease, r.options.OldNames))
	}
	return wireApp{name, listOf(r, list)}
}

// applications returns the JSON of a list of instances, grouped by application.
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

// encode returns the JSON of a value that can always be encoded.
func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil { // of plain structures
		panic(err)
	}
	return b
}
