// Package standin provides stand-ins for the servers and clients around a router: cache servers, the store behind them,
// discovery and load clients. Caches and clients speak RESP2, discovery speaks HTTP/1.1 through package httpserver, and
// a Eureka registry is in a separate package below. The package depends on machine.Machine alone: it starts no
// goroutine, reads no clock but the machine's and draws only from the random generators that it is given. The same code
// therefore runs on loopback sockets and on a virtual network, where equal seeds give equal runs.
//
// The stand-ins report the events on their sockets to a rules.Observer. They never inspect a router and never judge its
// behaviour.
package standin

// Time is an instant or a span in microseconds.
type Time = int64

const (
	Millisecond Time = 1000               // Millisecond is a thousandth of a second.
	Second      Time = 1000 * Millisecond // Second is a million microseconds.
)
