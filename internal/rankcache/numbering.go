package rankcache

// Numbering assigns small numbers to items and reuses released numbers first. The zero value has no numbers assigned.
type Numbering[T any] struct {
	items    []T   // items by number; the zero value of T for released numbers
	released []int // stack of numbers to reuse
}

// Assign assigns a number to an item and returns the number, which belongs to the item until Release.
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

// Release makes a number available again and drops the reference to its item.
func (n *Numbering[T]) Release(number int) {
	var zero T
	n.items[number] = zero
	n.released = append(n.released, number)
}

// Item returns the item to which the number is assigned.
func (n *Numbering[T]) Item(number int) T { return n.items[number] }

// UpperBound returns a number that is greater than all numbers assigned so far: the largest number of items held at one time.
func (n *Numbering[T]) UpperBound() int { return len(n.items) }
