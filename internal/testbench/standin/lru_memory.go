package standin

import "container/list"

// lruMemory contains the keys that a cache holds, and evicts the least recently used key first.
type lruMemory struct {
	capacity int
	order    *list.List // keys, most recently used first
	at       map[string]*list.Element
}

// newLRUMemory returns an empty memory with a capacity in keys.
func newLRUMemory(capacity int) *lruMemory {
	return &lruMemory{capacity: capacity, order: list.New(), at: map[string]*list.Element{}}
}

// use reports whether a key is held, and marks it as the most recently used.
func (m *lruMemory) use(key string) bool {
	e := m.at[key]
	if e != nil {
		m.order.MoveToFront(e)
	}
	return e != nil
}

// add inserts a key, and evicts the least recently used key if the memory is full.
func (m *lruMemory) add(key string) {
	if m.use(key) || m.capacity <= 0 {
		return
	}
	m.at[key] = m.order.PushFront(key)
	if len(m.at) > m.capacity {
		m.remove(m.order.Back().Value.(string))
	}
}

// remove drops a key.
func (m *lruMemory) remove(key string) {
	if e := m.at[key]; e != nil {
		m.order.Remove(e)
		delete(m.at, key)
	}
}
