package resp

// CommandSkipper finds the end of one command that arrives in pieces, for a caller that doesn't keep the command's bytes. It
// accepts the same arrays as NextCommand. The zero value is at the start of a command.
type CommandSkipper struct {
	started   bool // whether the header of the command is skipped
	argsLeft  int  // arguments that are not skipped yet, the current one included
	argIndex  int  // index of the current argument
	inBody    bool // whether the header of the current argument is skipped
	bytesLeft int  // bytes of the current argument that are not skipped yet, without its line end
}

// Skip skips the part of the command at the start of b. used is the number of bytes skipped; the caller keeps the others, at
// most one header line while the command is incomplete, and passes them again with the bytes that follow.
func (s *CommandSkipper) Skip(b []byte) (used int, complete bool, err error) {
	for {
		next, err := s.skipPart(b, used)
		if err != nil {
			return used, false, err
		}
		if s.started && s.argsLeft == 0 {
			return next, true, nil
		}
		if next == used {
			return used, false, nil
		}
		used = next
	}
}

// skipPart skips the header of the command, the header of an argument, or bytes of an argument, at b[at]. It returns the offset
// after them, which is at if too few bytes have arrived.
func (s *CommandSkipper) skipPart(b []byte, at int) (next int, err error) {
	switch {
	case !s.started:
		return s.skipCommandHeader(b, at)
	case s.argsLeft == 0:
		return at, nil
	case !s.inBody:
		return s.skipArgHeader(b, at)
	case s.bytesLeft > 0:
		skipped := min(s.bytesLeft, len(b)-at)
		s.bytesLeft -= skipped
		return at + skipped, nil
	}
	return s.skipLineEnd(b, at)
}

// skipCommandHeader skips the number of arguments.
func (s *CommandSkipper) skipCommandHeader(b []byte, at int) (next int, err error) {
	count, size, err := parseArgCount(b[at:])
	if err != nil || size == 0 {
		return at, err
	}
	s.started, s.argsLeft = true, count
	return at + size, nil
}

// skipArgHeader skips the length of an argument.
func (s *CommandSkipper) skipArgHeader(b []byte, at int) (next int, err error) {
	length, next, err := parseLength(b, at, bulkStringPrefix, maxArgBytes(s.argIndex))
	switch {
	case err != nil || next == 0:
		return at, err
	case length < 0:
		return at, errInvalidLength // null is not a valid argument
	}
	s.inBody, s.bytesLeft = true, length
	return next, nil
}

// skipLineEnd skips the line end of an argument.
func (s *CommandSkipper) skipLineEnd(b []byte, at int) (next int, err error) {
	for i := range len(lineEnd) {
		if at+i >= len(b) {
			return at, nil
		}
		if b[at+i] != lineEnd[i] {
			return at, errInvalidLength
		}
	}
	s.inBody = false
	s.argsLeft--
	s.argIndex++
	return at + len(lineEnd), nil
}
