package rules

// maxClasses bounds the classes that are counted by name, because the names come from clients.
const maxClasses = 64

// otherClasses is the name under which all classes beyond maxClasses are counted.
const otherClasses = "(other)"

// class is a class with the tally of its requests.
type class struct {
	Class
	tally Tally
}

// allowsRejectAfterRun reports whether a request of the class may be rejected although an attempt may have run.
func (c *class) allowsRejectAfterRun() bool {
	return c.Semantics == Idempotent || c.Semantics == IdempotentByKey && c.Scope == ScopeAll
}

// class returns the class with the given name. A class that is not in the settings counts as not idempotent.
func (w *Watcher) class(name string) *class {
	c := w.classes[name]
	if c != nil {
		return c
	}
	if len(w.classes) >= maxClasses {
		name = otherClasses
		if c = w.classes[name]; c != nil {
			return c
		}
	}
	c = &class{tally: Tally{Class: name}}
	w.classes[name] = c
	return c
}
