package resp

import (
	"bytes"
	"slices"
)

// CommandSize returns how many bytes the command at the front of b takes, or 0 where it is not whole yet. It accepts what
// NextCommand accepts, and allocates nothing.
func CommandSize(b []byte) (used int, err error) {
	if len(b) == 0 || b[0] != arrayPrefix {
		_, used, err = NextCommand(b)
		return used, err
	}
	count, at, err := parseArgCount(b)
	if err != nil || at == 0 {
		return 0, err
	}
	for i := range count {
		_, next, err := parseArg(b, at, i)
		if err != nil || next == 0 {
			return 0, err
		}
		at = next
	}
	return at, nil
}

// NextCommand reads one command off b: an array of bulk strings, or a line of words. used is 0 where it is not whole yet. The
// arguments are parts of b.
func NextCommand(b []byte) (args [][]byte, used int, err error) { return AppendCommand(nil, b) }

// AppendCommand is NextCommand with the arguments appended to a list.
func AppendCommand(list [][]byte, b []byte) (args [][]byte, used int, err error) {
	if len(b) == 0 {
		return list, 0, nil
	}
	if b[0] != arrayPrefix {
		text, used, err := parseLine(b, MaxWordBytes)
		return append(list, bytes.Fields(text)...), used, err
	}
	count, at, err := parseArgCount(b)
	if err != nil || at == 0 {
		return nil, 0, err
	}
	args = slices.Grow(list, count)
	for i := range count {
		arg, next, err := parseArg(b, at, i)
		if err != nil || next == 0 {
			return nil, 0, err
		}
		args, at = append(args, arg), next
	}
	return args, at, nil
}

// parseArgCount reads the header of a command. next is 0 where it is not whole yet.
func parseArgCount(b []byte) (count, next int, err error) {
	count, next, err = parseLength(b, 0, arrayPrefix, maxArgs)
	if err != nil || next == 0 {
		return 0, 0, err
	}
	if count < 0 {
		return 0, 0, errLength
	}
	return count, next, nil
}

// parseArg reads argument i of a command, which begins at b[start]. next is 0 where it is not whole yet.
func parseArg(b []byte, start, i int) (arg []byte, next int, err error) {
	maxLength := MaxWordBytes
	if i > MetaArg {
		maxLength = MaxValueBytes
	}
	arg, next, err = parseBulk(b, start, maxLength)
	if err == nil && next > 0 && arg == nil {
		return nil, 0, errLength // null is no argument
	}
	return arg, next, err
}
