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

// Places of arguments in a request. The metadata stands at resp.MetaArg, and the value of a write behind it.
const (
	keyArg   = 1
	idArg    = 2
	valueArg = resp.MetaArg + 1
	maxArgs  = valueArg + 1 // number of arguments of a write
)

var (
	getVerb, setVerb   = []byte("C.GET"), []byte("C.SET")
	pingVerb, quitVerb = []byte("PING"), []byte("QUIT")
	equalsSign         = []byte("=")
)

// Errors of Command.Parse. Clients receive their texts.
var (
	errArgumentLength     = errors.New("an argument is empty or too long")
	errUnknownClass       = errors.New("unknown class")
	errClassTwice         = errors.New("c stands twice")
	errInvalidTimeout     = errors.New("d is not a number of milliseconds")
	errMetadataIncomplete = errors.New("c and d are needed")
)

// argumentCountError says that a request has too few or too many arguments. Clients receive its text.
type argumentCountError struct{ verb string }

// Error implements error.
func (e *argumentCountError) Error() string {
	return fmt.Sprintf("wrong number of arguments for %s", e.verb)
}

// Command is a client's request as it was read.
type Command struct {
	Class                 string
	Tenant                string
	KeyHash               uint64 // places the key among the caches
	Timeout               Time   // how long the client waits, at most what its class allows
	Cost                  Time   // the client's estimate of the work; 0 where it sends none
	Write                 bool   // C.SET
	Retry                 bool   // the client marks it as a retry
	NonIdempotent         bool   // it must never run twice, and no cache drops a repeat
	IdempotencyKeyMissing bool   // it is NonIdempotent because its class requires a key and it has none

	args         [maxArgs][]byte // verb, key, id, metadata, and the value of a write
	argCount     int
	timeoutStart int // where the number of the client's timeout begins in the metadata
	timeoutEnd   int // where it ends; 0 until it is found
}

// KeyHash returns the number that places a key: its 64-bit FNV-1a hash. All routers must agree on it, as another one would
// move all keys.
func KeyHash(key []byte) uint64 {
	const offsetBasis, prime = 14695981039346656037, 1099511628211
	hash := uint64(offsetBasis)
	for _, b := range key {
		hash = (hash ^ uint64(b)) * prime
	}
	return hash
}

// ID returns the id that the client gave the request.
func (c *Command) ID() string { return string(c.args[idArg]) }

// Verb returns C.GET or C.SET.
func (c *Command) Verb() string {
	if c.Write {
		return string(setVerb)
	}
	return string(getVerb)
}

// Key returns the requested key.
func (c *Command) Key() string { return string(c.args[keyArg]) }

// Value returns what a write sets, and nil for a read.
func (c *Command) Value() []byte {
	if !c.Write {
		return nil
	}
	return c.args[valueArg]
}

// Parse reads a C.GET or C.SET of one of the classes. It refers to the arguments
// afterwards, but not to the slice that lists them. The text of its error goes to the client.
func (c *Command) Parse(args [][]byte, classes []decide.Class) error {
	*c = Command{Write: bytes.EqualFold(args[0], setVerb)}
	want := maxArgs - 1
	if c.Write {
		want = maxArgs
	}
	if len(args) != want {
		return &argumentCountError{verb: string(args[0])}
	}
	for _, arg := range args[:valueArg] {
		if len(arg) == 0 || len(arg) > resp.MaxWordBytes {
			return errArgumentLength
		}
	}
	c.argCount = copy(c.args[:], args)
	c.KeyHash = KeyHash(args[keyArg])
	metadata, err := c.parseMetadata(args[resp.MetaArg])
	if err != nil {
		return err
	}
	i := slices.IndexFunc(classes, func(known decide.Class) bool { return known.Name == string(metadata.class) })
	if i < 0 {
		return errUnknownClass
	}
	c.applyClass(&classes[i], metadata.hasIdempotencyKey)
	return nil
}

// applyClass sets what follows from the request's class. Its semantics hold whichever the verb: the settings may call a read
// not idempotent, and a write idempotent.
func (c *Command) applyClass(class *decide.Class, hasIdempotencyKey bool) {
	c.Class = class.Name
	// No cache can drop a repeat of a request that lacks the key.
	c.IdempotencyKeyMissing = class.Semantics == decide.IdempotentByKey && !hasIdempotencyKey
	c.NonIdempotent = class.Semantics == decide.NonIdempotent || c.IdempotencyKeyMissing
	if class.ClientTimeout > 0 {
		// Without this bound, timers and the request would last for as long as the client claims to wait.
		c.Timeout = min(c.Timeout, class.ClientTimeout)
	}
}

// metadata is what Parse needs of a request's metadata beside the fields of Command.
type metadata struct {
	class             []byte // part of the argument
	hasIdempotencyKey bool
}

// parseMetadata reads the comma-separated list of names and values.
func (c *Command) parseMetadata(list []byte) (metadata, error) {
	var found metadata
	for start := 0; start < len(list); {
		end := len(list)
		if comma := bytes.IndexByte(list[start:], ','); comma >= 0 {
			end = start + comma
		}
		name, value, _ := bytes.Cut(list[start:end], equalsSign)
		switch string(name) {
		case "c":
			if len(found.class) > 0 {
				return metadata{}, errClassTwice
			}
			found.class = value
		case "t":
			c.Tenant = string(value)
		case "d":
			if err := c.parseTimeout(value, end); err != nil {
				return metadata{}, err
			}
		case "k":
			found.hasIdempotencyKey = found.hasIdempotencyKey || len(value) > 0
		case "r":
			c.Retry = string(value) == "1"
		case "h":
			cost, err := strconv.ParseInt(string(value), 10, 64)
			if err == nil && cost > 0 {
				c.Cost = cost
			}
		}
		start = end + 1
	}
	if len(found.class) == 0 || c.timeoutEnd == 0 {
		return metadata{}, errMetadataIncomplete
	}
	return found, nil
}

// parseTimeout reads the client's timeout, whose number ends at the given place of the metadata.
func (c *Command) parseTimeout(value []byte, end int) error {
	milliseconds, err := strconv.ParseUint(string(value), 10, 31)
	if err != nil || c.timeoutEnd > 0 {
		return errInvalidTimeout
	}
	c.Timeout = Time(milliseconds) * microsecondsPerMillisecond
	c.timeoutStart, c.timeoutEnd = end-len(value), end
	return nil
}

// Encode appends the request as it goes on to a cache: as the client sent it, with the time for which the router waits in
// place of the client's timeout.
func (c *Command) Encode(b []byte, wait Time) []byte {
	b = redcon.AppendArray(b, c.argCount)
	for i, arg := range c.args[:c.argCount] {
		if i == resp.MetaArg {
			b = c.appendMetadata(b, wait)
		} else {
			b = redcon.AppendBulk(b, arg)
		}
	}
	return b
}

// appendMetadata appends the metadata as a bulk string, with another timeout. A timeout of 0 would be invalid.
func (c *Command) appendMetadata(b []byte, wait Time) []byte {
	const maxDigits = 20
	var digits [maxDigits]byte
	timeout := strconv.AppendInt(digits[:0], max(1, wait/microsecondsPerMillisecond), 10)
	list := c.args[resp.MetaArg]
	b = append(b, '$')
	b = strconv.AppendInt(b, int64(c.timeoutStart+len(timeout)+len(list)-c.timeoutEnd), 10)
	b = append(b, "\r\n"...)
	b = append(b, list[:c.timeoutStart]...)
	b = append(b, timeout...)
	b = append(b, list[c.timeoutEnd:]...)
	return append(b, "\r\n"...)
}

// looksLikeHTTP reports whether the arguments of an inline command are a line of an HTTP request.
func looksLikeHTTP(args [][]byte) bool {
	const maxMethodBytes = 32 // no method or header name compared here is longer
	first := strings.ToUpper(string(args[0][:min(len(args[0]), maxMethodBytes)]))
	return first == "POST" || first == "HOST:" || bytes.Contains(args[len(args)-1], []byte("HTTP/"))
}
