package resp

import (
	"bytes"
	"slices"
)

// CommandSize returns the size in bytes of the command at the start of b, or 0 if the command is incomplete. It accepts the
// same input as NextCommand, and allocates nothing.
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

// NextCommand parses the command at the start of b: an array of bulk strings, or an inline command. used is the number of
// bytes that the command takes, or 0 if the command is incomplete. The arguments are slices of b.
func NextCommand(b []byte) (args [][]byte, used int, err error) { return AppendCommand(nil, b) }

// AppendCommand is like NextCommand, but appends the arguments to list.
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

// parseArgCount parses the header of a command. next is 0 if the header is incomplete.
func parseArgCount(b []byte) (count, next int, err error) {
	count, next, err = parseLength(b, 0, arrayPrefix, maxArgs)
	if err != nil || next == 0 {
		return 0, 0, err
	}
	if count < 0 {
		return 0, 0, errInvalidLength
	}
	return count, next, nil
}

// parseArg parses argument i of a command, which starts at b[start]. next is 0 if the argument is incomplete.
func parseArg(b []byte, start, i int) (arg []byte, next int, err error) {
	arg, next, err = parseBulk(b, start, maxArgBytes(i))
	if err == nil && next > 0 && arg == nil {
		return nil, 0, errInvalidLength // null is not a valid argument
	}
	return arg, next, err
}

// maxArgBytes returns the maximum number of bytes of argument i of a command.
func maxArgBytes(i int) int {
	if i > MetaArg {
		return MaxValueBytes
	}
	return MaxWordBytes
}
