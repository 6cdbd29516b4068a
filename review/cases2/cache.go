package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// command is a command as a cache has received it.
type command struct {
	args      []string
	firstByte time.Time
	lastByte  time.Time
	conn      *cacheConn
}

// arg returns an argument, or nothing.
func (c *command) arg(i int) string {
	if i < len(c.args) {
		return c.args[i]
	}
	return ""
}

func (c *command) verb() string { return strings.ToUpper(c.arg(0)) }
func (c *command) key() string  { return c.arg(1) }
func (c *command) id() string   { return c.arg(2) }

// meta returns a value of the request's list of names and values.
func (c *command) meta(name string) string {
	for _, pair := range strings.Split(c.arg(3), ",") {
		if n, v, _ := strings.Cut(pair, "="); n == name {
			return v
		}
	}
	return ""
}

// isRequest reports whether the command is a request of a client.
func (c *command) isRequest() bool { return c.verb() == "C.GET" || c.verb() == "C.SET" }

// valueFor returns the value that a cache serves for a request.
func valueFor(key, id string) string { return "value-of-" + key + "-for-" + id }

// answerServed is the answer of a cache that serves a value.
func answerServed(value, note string) []byte {
	b := fmt.Appendf(nil, "*3\r\n$%d\r\n%s\r\n", len(value), value)
	if note == "" {
		b = append(b, "$-1\r\n"...)
	} else {
		b = fmt.Appendf(b, "$%d\r\n%s\r\n", len(note), note)
	}
	return append(b, "$-1\r\n"...)
}

// cache is a stand-in for a cache server.
type cache struct {
	lab  *lab
	name string
	addr string
	// handle answers a request. It is called on the goroutine of the connection; nil serves at once.
	handle func(c *command)

	mu       sync.Mutex
	listener net.Listener
	conns    map[*cacheConn]bool
}

// cacheConn is a connection to a cache.
type cacheConn struct {
	cache *cache
	net.Conn
	in *bufio.Reader
	mu sync.Mutex // guards writes
}

// startCache starts a cache at a free port of an address.
func (l *lab) startCache(name, ip string) (*cache, error) {
	c := &cache{lab: l, name: name, conns: map[*cacheConn]bool{}}
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	c.addr = ln.Addr().String()
	c.serve(ln)
	l.atEnd(c.stop)
	return c, nil
}

// serve accepts connections.
func (c *cache) serve(ln net.Listener) {
	c.mu.Lock()
	c.listener = ln
	c.mu.Unlock()
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			cc := &cacheConn{cache: c, Conn: conn, in: bufio.NewReaderSize(conn, 128<<10)}
			c.mu.Lock()
			c.conns[cc] = true
			c.mu.Unlock()
			go cc.run()
		}
	}()
}

// stop ends the process: it closes the listener and resets all connections.
func (c *cache) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.listener != nil {
		c.listener.Close()
		c.listener = nil
	}
	for cc := range c.conns {
		cc.reset()
	}
	clear(c.conns)
}

// setHandle replaces the cache's behaviour.
func (c *cache) setHandle(f func(*command)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handle = f
}

// reset closes the connection with a reset.
func (cc *cacheConn) reset() {
	if t, ok := cc.Conn.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	cc.Close()
}

// write writes an answer.
func (cc *cacheConn) write(b []byte) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	cc.Write(b)
}

// run reads commands and has them answered.
func (cc *cacheConn) run() {
	c := cc.cache
	defer func() {
		cc.Close()
		c.mu.Lock()
		delete(c.conns, cc)
		c.mu.Unlock()
	}()
	for {
		cmd, err := readCommand(cc.in)
		if err != nil {
			return
		}
		cmd.conn = cc
		if !cmd.isRequest() {
			cc.answerOther(cmd)
			continue
		}
		c.mu.Lock()
		handle := c.handle
		c.mu.Unlock()
		c.lab.notef("cache %s: begins %s %s %s %s", c.name, cmd.verb(), cmd.key(), cmd.id(), cmd.arg(3))
		if handle != nil {
			handle(cmd)
		} else {
			cmd.serve()
		}
	}
}

// serve answers with the value for the request.
func (c *command) serve() {
	c.conn.cache.lab.notef("cache %s: serves %s", c.conn.cache.name, c.id())
	c.conn.write(answerServed(valueFor(c.key(), c.id()), "hit"))
}

// answerOther answers a command that is no request.
func (cc *cacheConn) answerOther(cmd *command) {
	switch cmd.verb() {
	case "PING":
		cc.write([]byte("+PONG\r\n"))
	case "CLIENT", "SELECT":
		cc.write([]byte("+OK\r\n"))
	case "INFO":
		cc.write([]byte("-NOPERM\r\n"))
	default:
		cc.write([]byte("-ERR unknown\r\n"))
	}
}

var errCommand = errors.New("not a command")

// readCommand reads an array of bulk strings.
func readCommand(in *bufio.Reader) (*command, error) {
	if _, err := in.Peek(1); err != nil {
		return nil, err
	}
	cmd := &command{firstByte: time.Now()}
	n, err := readLength(in, '*')
	if err != nil {
		return nil, err
	}
	for range n {
		size, err := readLength(in, '$')
		if err != nil {
			return nil, err
		}
		b := make([]byte, size+2)
		if _, err := io.ReadFull(in, b); err != nil {
			return nil, err
		}
		cmd.args = append(cmd.args, string(b[:size]))
	}
	cmd.lastByte = time.Now()
	return cmd, nil
}

// readLength reads a header line.
func readLength(in *bufio.Reader, prefix byte) (int, error) {
	line, err := in.ReadString('\n')
	if err != nil {
		return 0, err
	}
	if line[0] != prefix || !strings.HasSuffix(line, "\r\n") {
		return 0, errCommand
	}
	n, err := strconv.Atoi(line[1 : len(line)-2])
	if err != nil || n < 0 || n > 1<<20 {
		return 0, errCommand
	}
	return n, nil
}
