package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"time"
)

// outcome is how a router answered a request.
type outcome string

const (
	served  outcome = "served"
	refused outcome = "refused"
	failed  outcome = "failed"
	lost    outcome = "lost"
)

// reply is a router's answer.
type reply struct {
	outcome outcome
	text    string // value, or the line of an error
	at      time.Time
}

// newID returns an id that no other request has.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// encodeCommand encodes a command.
func encodeCommand(args ...string) []byte {
	b := fmt.Appendf(nil, "*%d\r\n", len(args))
	for _, a := range args {
		b = fmt.Appendf(b, "$%d\r\n%s\r\n", len(a), a)
	}
	return b
}

// readReply reads one answer of a router.
func readReply(in *bufio.Reader) (reply, error) {
	line, err := in.ReadString('\n')
	if err != nil {
		return reply{outcome: lost, at: time.Now()}, err
	}
	line = strings.TrimRight(line, "\r\n")
	if line == "" {
		return reply{outcome: failed, at: time.Now()}, nil
	}
	switch line[0] {
	case '$':
		n, err := strconv.Atoi(line[1:])
		if err != nil || n < 0 {
			return reply{outcome: failed, text: line, at: time.Now()}, err
		}
		b := make([]byte, n+2)
		if _, err := io.ReadFull(in, b); err != nil {
			return reply{outcome: lost, at: time.Now()}, err
		}
		return reply{outcome: served, text: string(b[:n]), at: time.Now()}, nil
	case '-':
		if strings.HasPrefix(line, "-BUSY") {
			return reply{outcome: refused, text: line, at: time.Now()}, nil
		}
	}
	return reply{outcome: failed, text: line, at: time.Now()}, nil
}

// client is one connection to a router.
type client struct {
	net.Conn
	in *bufio.Reader
}

// dial connects to a router.
func dial(addr string) (*client, error) {
	conn, err := net.DialTimeout("tcp", addr, 2*time.Second)
	if err != nil {
		return nil, err
	}
	return &client{conn, bufio.NewReaderSize(conn, 128<<10)}, nil
}

// get returns the command of a read.
func get(key, id, class string, d int) []byte {
	return encodeCommand("C.GET", key, id, fmt.Sprintf("c=%s,d=%d", class, d))
}

// setKeyed returns the command of a write with an idempotency key.
func setKeyed(key, id, class string, d int, k, value string) []byte {
	return encodeCommand("C.SET", key, id, fmt.Sprintf("c=%s,d=%d,k=%s", class, d, k), value)
}
