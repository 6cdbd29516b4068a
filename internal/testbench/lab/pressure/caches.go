package pressure

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/tidwall/redcon"
)

// Figures of the caches.
const (
	cacheCount = 9
	cacheSlots = 6 // requests that a cache runs at a time
	cacheWork  = 10 * time.Millisecond
	largeValue = 60 << 10 // bytes of the value of a key that begins with "large"
)

// caches are stand-ins for cache servers.
type caches struct {
	play      *play
	listeners []net.Listener

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// startCaches starts the caches.
func (p *play) startCaches() (*caches, error) {
	c := &caches{play: p, conns: map[net.Conn]bool{}}
	for range cacheCount {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			c.close()
			return nil, err
		}
		c.listeners = append(c.listeners, listener)
		go c.accept(listener, make(chan struct{}, cacheSlots))
	}
	return c, nil
}

// close ends the caches.
func (c *caches) close() {
	for _, listener := range c.listeners {
		listener.Close()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.conns { // any order
		conn.Close()
	}
}

// accept serves the connections of one cache.
func (c *caches) accept(listener net.Listener, slots chan struct{}) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		c.mu.Lock()
		c.conns[conn] = true
		c.mu.Unlock()
		go c.serve(conn, slots)
	}
}

// serve answers the commands of one connection, up to its end.
func (c *caches) serve(conn net.Conn, slots chan struct{}) {
	defer func() {
		conn.Close()
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.conns, conn)
	}()
	in := redcon.NewReader(conn)
	for {
		command, err := in.ReadCommand()
		if err != nil {
			return
		}
		args := make([]string, len(command.Args))
		for i, arg := range command.Args {
			args[i] = string(arg)
		}
		reply := "+PONG\r\n"
		if len(args) > 3 {
			c.play.attemptArrived(args, time.Now())
			slots <- struct{}{}
			time.Sleep(cacheWork)
			<-slots
			reply = served(args[1])
		}
		if _, err := conn.Write([]byte(reply)); err != nil {
			return
		}
	}
}

// served returns the reply for a key.
func served(key string) string {
	value := "value of " + key
	if strings.HasPrefix(key, "large") {
		value = strings.Repeat("v", largeValue)
	}
	return fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$3\r\nhit\r\n$-1\r\n", len(value), value)
}
