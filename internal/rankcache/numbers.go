package rankcache

// Numbering gives small numbers to things, and those that were given back first. The zero value has given none.
type Numbering[T any] struct {
	of   []T
	free []int
}

// Assign gives a number to a thing, which it has until Give.
func (s *Numbering[T]) Assign(thing T) int {
	if last := len(s.free) - 1; last >= 0 {
		n := s.free[last]
		s.free = s.free[:last]
		s.of[n] = thing
		return n
	}
	s.of = append(s.of, thing)
	return len(s.of) - 1
}

// Release takes a number back, and lets go of what had it.
func (s *Numbering[T]) Release(n int) {
	var none T
	s.of[n] = none
	s.free = append(s.free, n)
}

// Of is what has a number.
func (s *Numbering[T]) Of(n int) T { return s.of[n] }

// Max is how many numbers there were at a time, at most: all are below it.
func (s *Numbering[T]) Max() int { return len(s.of) }
