// Package standin provides stand-ins for what surrounds a router: cache servers, the store behind them, discovery and
// load clients. Caches and clients speak RESP2, discovery speaks HTTP/1.1 by package httpserver, and a Eureka registry
// has a package of its own below. The package is written against machine.Machine alone: it starts no goroutine, reads no
// clock but the machine's and draws only from the generators that it is given. The same code so runs on loopback sockets
// and on a virtual network, where equal seeds give equal runs.
//
// The stand-ins report what they see on their sockets to a rules.Observer. They never inspect a router and never judge
// what one does.
package standin

// Time is an instant or a span in microseconds.
type Time = int64

const (
	Millisecond Time = 1000               // Millisecond is a thousandth of a second.
	Second      Time = 1000 * Millisecond // Second is a million microseconds.
)
