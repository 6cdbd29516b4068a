package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// errMessage reports a message that is not valid.
var errMessage = errors.New("malformed message")

// readCommand reads a command: an array of bulk strings.
func readCommand(r *bufio.Reader) ([]string, error) {
	head, err := readLine(r)
	if err != nil {
		return nil, err
	}
	if !strings.HasPrefix(head, "*") {
		return nil, errMessage
	}
	count, err := strconv.Atoi(head[1:])
	if err != nil || count < 1 || count > 16 {
		return nil, errMessage
	}
	args := make([]string, count)
	for i := range args {
		if args[i], err = readBulk(r); err != nil {
			return nil, err
		}
	}
	return args, nil
}

// readReply reads a reply and returns a line, or the bulk string with "$" before it.
func readReply(r *bufio.Reader) (string, error) {
	first, err := r.Peek(1)
	if err != nil {
		return "", err
	}
	if first[0] == '$' {
		text, err := readBulk(r)
		return "$" + text, err
	}
	return readLine(r)
}

// readLine reads a line and returns it without its end.
func readLine(r *bufio.Reader) (string, error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return "", err
	}
	if !strings.HasSuffix(line, "\r\n") {
		return "", errMessage
	}
	return line[:len(line)-2], nil
}

// readBulk reads a bulk string.
func readBulk(r *bufio.Reader) (string, error) {
	head, err := readLine(r)
	if err != nil {
		return "", err
	}
	if !strings.HasPrefix(head, "$") {
		return "", errMessage
	}
	size, err := strconv.Atoi(head[1:])
	if err != nil || size < 0 || size > 64<<10 {
		return "", errMessage
	}
	text := make([]byte, size+2)
	if _, err := io.ReadFull(r, text); err != nil {
		return "", err
	}
	return string(text[:size]), nil
}

// command returns a command in its wire format.
func command(args ...string) []byte {
	b := fmt.Appendf(nil, "*%d\r\n", len(args))
	for _, arg := range args {
		b = fmt.Appendf(b, "$%d\r\n%s\r\n", len(arg), arg)
	}
	return b
}
