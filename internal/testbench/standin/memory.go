package standin

import "container/list"

// memory is the keys that a cache holds; the one used longest ago goes first.
type memory struct {
	most  int
	order *list.List // of keys, the latest first
	at    map[string]*list.Element
}

func newMemory(most int) *memory {
	return &memory{most: most, order: list.New(), at: map[string]*list.Element{}}
}

// use reports whether the key is held, and counts as a use of it.
func (m *memory) use(key string) bool {
	e := m.at[key]
	if e != nil {
		m.order.MoveToFront(e)
	}
	return e != nil
}

func (m *memory) keep(key string) {
	if m.use(key) || m.most <= 0 {
		return
	}
	m.at[key] = m.order.PushFront(key)
	if len(m.at) > m.most {
		m.void(m.order.Back().Value.(string))
	}
}

func (m *memory) void(key string) {
	if e := m.at[key]; e != nil {
		m.order.Remove(e)
		delete(m.at, key)
	}
}
