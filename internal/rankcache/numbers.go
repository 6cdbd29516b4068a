package rankcache

// Numbers gives small numbers to things, and those that were given back first. The zero value has given none.
type Numbers[T any] struct {
	of   []T
	free []int
}

// Take gives a number to a thing, which it has until Give.
func (s *Numbers[T]) Take(thing T) int {
	if last := len(s.free) - 1; last >= 0 {
		n := s.free[last]
		s.free = s.free[:last]
		s.of[n] = thing
		return n
	}
	s.of = append(s.of, thing)
	return len(s.of) - 1
}

// Give takes a number back, and lets go of what had it.
func (s *Numbers[T]) Give(n int) {
	var none T
	s.of[n] = none
	s.free = append(s.free, n)
}

// Of is what has a number.
func (s *Numbers[T]) Of(n int) T { return s.of[n] }

// Most is how many numbers there were at a time, at most: all are below it.
func (s *Numbers[T]) Most() int { return len(s.of) }
