package rankcache

// Numbering assigns small numbers to items, and released numbers first. The zero value has assigned none.
type Numbering[T any] struct {
	items    []T   // by number; the zero value for a released one
	released []int // numbers to assign again, the last one first
}

// Assign returns a number for an item, which stays the item's until Release.
func (n *Numbering[T]) Assign(item T) int {
	if last := len(n.released) - 1; last >= 0 {
		number := n.released[last]
		n.released = n.released[:last]
		n.items[number] = item
		return number
	}
	n.items = append(n.items, item)
	return len(n.items) - 1
}

// Release takes a number back. The Numbering does not refer to the item afterwards.
func (n *Numbering[T]) Release(number int) {
	var none T
	n.items[number] = none
	n.released = append(n.released, number)
}

// Of returns the item with a number.
func (n *Numbering[T]) Of(number int) T { return n.items[number] }

// Max returns the largest number of items at a time so far. All numbers are below it.
func (n *Numbering[T]) Max() int { return len(n.items) }
