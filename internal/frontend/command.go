package frontend

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/tidwall/redcon"

	"starlingwinch/decide"
	"starlingwinch/internal/resp"
)

const (
	idArg    = 2                // place of the id in a command
	mostArgs = resp.MetaArg + 2 // arguments of a request
)

var getVerb, setVerb, pingVerb, quitVerb, equals = []byte("C.GET"), []byte("C.SET"), []byte("PING"), []byte("QUIT"), []byte("=")

// Command is a client's request as it came.
type Command struct {
	Class                 string
	Tenant                string
	KeyHash               uint64 // of the key
	Timeout               Time   // how long the client waits, cut at what its class allows
	Cost                  Time   // the client's guess at the work; 0 where it has none
	Write                 bool
	Retry                 bool // its client says that it has asked before
	NonIdempotent         bool // it must never run twice, and no cache drops a repeat
	IdempotencyKeyMissing bool // ... as its class wants a key, and it has none

	args     [mostArgs][]byte // verb, key, id, names and values, and the value to set if there is one
	count    int              // of them
	size     int              // bytes on the wire
	waitFrom int              // place of d's figure in the names and values
	waitTo   int
}

// KeyHash is the number that places a key, by FNV-1a. All routers agree on it: another one would move all keys.
func KeyHash(key []byte) uint64 {
	const offset, prime = 14695981039346656037, 1099511628211
	h := uint64(offset)
	for _, c := range key {
		h = (h ^ uint64(c)) * prime
	}
	return h
}

// ID is the request's id in the client's words.
func (c *Command) ID() string { return string(c.args[idArg]) }

// Verb is C.GET or C.SET.
func (c *Command) Verb() string {
	if c.Write {
		return "C.SET"
	}
	return "C.GET"
}

// Key is what is asked for, in the client's words.
func (c *Command) Key() string { return string(c.args[1]) }

// Value is what a write sets; nil for a read.
func (c *Command) Value() []byte {
	if !c.Write {
		return nil
	}
	return c.args[resp.MetaArg+1]
}

// Parse reads a C.GET or C.SET of one of the classes, whose arguments took size bytes on the wire. It keeps what
// they hold, not their list. The error is worded for the client.
func (c *Command) Parse(args [][]byte, size int, classes []decide.Class) error {
	*c = Command{size: size, Write: bytes.EqualFold(args[0], setVerb)}
	want := resp.MetaArg + 1
	if c.Write {
		want++
	}
	if len(args) != want {
		return fmt.Errorf("wrong number of arguments for %s", args[0])
	}
	for _, a := range args[:resp.MetaArg+1] {
		if len(a) == 0 || len(a) > resp.MaxWordBytes {
			return errors.New("an argument is empty or too long")
		}
	}
	c.count = copy(c.args[:], args)
	c.KeyHash = KeyHash(args[1])
	class, keyed, err := c.names(args[resp.MetaArg])
	if err != nil {
		return err
	}
	i := slices.IndexFunc(classes, func(known decide.Class) bool { return known.Name == string(class) })
	if i < 0 {
		return errors.New("unknown class")
	}
	c.Class = classes[i].Name
	// What a repeat does is for the settings to say, not for the verb: they may call a read unsafe and a write safe.
	// The danger: a keyed class without a key is repeated, and no cache can drop it.
	c.IdempotencyKeyMissing = classes[i].Semantics == decide.IdempotentByKey && !keyed
	c.NonIdempotent = classes[i].Semantics == decide.NonIdempotent || c.IdempotencyKeyMissing
	if limit := classes[i].ClientTimeout; limit > 0 {
		// The danger: timers last as long as the client claims to wait, and hold the request.
		c.Timeout = min(c.Timeout, limit)
	}
	return nil
}

// names reads the list of names and values: the class's name, which lies in it, and whether there is an idempotency key.
func (c *Command) names(meta []byte) (class []byte, keyed bool, err error) {
	for from := 0; from < len(meta); {
		to := from + len(meta[from:])
		if i := bytes.IndexByte(meta[from:], ','); i >= 0 {
			to = from + i
		}
		name, value, _ := bytes.Cut(meta[from:to], equals)
		switch string(name) {
		case "c":
			if len(class) > 0 {
				return nil, false, errors.New("c stands twice")
			}
			class = value
		case "t":
			c.Tenant = string(value)
		case "d":
			ms, err := strconv.ParseUint(string(value), 10, 31)
			if err != nil || c.waitTo > 0 {
				return nil, false, errors.New("d is not a number of milliseconds")
			}
			c.Timeout, c.waitFrom, c.waitTo = Time(ms)*1000, to-len(value), to
		case "k":
			keyed = keyed || len(value) > 0
		case "r":
			c.Retry = string(value) == "1"
		case "h":
			if us, err := strconv.ParseInt(string(value), 10, 64); err == nil && us > 0 {
				c.Cost = us
			}
		}
		from = to + 1
	}
	if len(class) == 0 || c.waitTo == 0 {
		return nil, false, errors.New("c and d are needed")
	}
	return class, keyed, nil
}

// Encode appends what goes on to a cache: the client's words, but for the time that is left.
func (c *Command) Encode(b []byte, wait Time) []byte {
	meta := c.args[resp.MetaArg]
	b = redcon.AppendArray(b, c.count)
	for i, arg := range c.args[:c.count] {
		if i != resp.MetaArg {
			b = redcon.AppendBulk(b, arg)
			continue
		}
		var figure [20]byte
		left := strconv.AppendInt(figure[:0], max(1, wait/1000), 10)
		b = append(b, '$')
		b = strconv.AppendInt(b, int64(c.waitFrom+len(left)+len(meta)-c.waitTo), 10)
		b = append(b, "\r\n"...)
		b = append(b, meta[:c.waitFrom]...)
		b = append(b, left...)
		b = append(b, meta[c.waitTo:]...)
		b = append(b, "\r\n"...)
	}
	return b
}

// isHTTP reports whether a line of words belongs to HTTP.
func isHTTP(args [][]byte) bool {
	first := strings.ToUpper(string(args[0][:min(len(args[0]), 32)]))
	return first == "POST" || first == "HOST:" || bytes.Contains(args[len(args)-1], []byte("HTTP/"))
}
