package standin

import "container/list"

// lruMemory is the keys that a cache holds; the least recently used one is evicted first.
type lruMemory struct {
	capacity int
	order    *list.List // of keys, the latest first
	at       map[string]*list.Element
}

// newLRUMemory returns an empty memory for so many keys.
func newLRUMemory(most int) *lruMemory {
	return &lruMemory{capacity: most, order: list.New(), at: map[string]*list.Element{}}
}

// use reports whether a key is held, and marks it as the most recently used.
func (m *lruMemory) use(key string) bool {
	e := m.at[key]
	if e != nil {
		m.order.MoveToFront(e)
	}
	return e != nil
}

// add puts a key in, and evicts another one where the memory is full.
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
