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

// Indexes of a request's arguments. The metadata is at resp.MetaArg, and the value of a write follows the metadata.
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

// Errors of Command.Parse. Their texts are sent to clients.
var (
	errArgumentLength     = errors.New("an argument is empty or too long")
	errUnknownClass       = errors.New("unknown class")
	errDuplicateClass     = errors.New("c stands twice")
	errInvalidTimeout     = errors.New("d is not a number of milliseconds")
	errMetadataIncomplete = errors.New("c and d are needed")
)

// argumentCountError reports a request with too few or too many arguments. Its text is sent to the client.
type argumentCountError struct{ verb string }

// Error implements error.
func (e *argumentCountError) Error() string {
	return fmt.Sprintf("wrong number of arguments for %s", e.verb)
}

// Command is a parsed request of a client.
type Command struct {
	Class                 string
	Tenant                string
	KeyHash               uint64 // selects the caches that are responsible for the key
	Timeout               Time   // time for which the client waits, bounded by the client timeout of the request's class
	Cost                  Time   // client's estimate of the work that the request costs; 0 if the client sent no estimate
	Write                 bool   // whether the verb is C.SET
	Retry                 bool   // whether the client flagged the request as a retry
	Idempotent            bool   // whether the request may be executed any number of times
	IdempotencyKeyMissing bool   // whether the request must not be executed twice because its class requires an idempotency key and the request has none

	args         [maxArgs][]byte // verb, key, id, metadata, and the value of a write
	argCount     int
	timeoutStart int // offset in the metadata at which the number of the client's timeout starts
	timeoutEnd   int // offset at which that number ends; 0 until the timeout is parsed
}

// KeyHash returns the 64-bit FNV-1a hash of a key, which determines the caches that are responsible for the key. All routers
// must use the same function: another hash would move all keys to other caches.
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

// copiedBytes returns the bytes of the arguments that are held a second time, as texts.
func (c *Command) copiedBytes() int64 { return int64(len(c.args[idArg]) + len(c.Tenant)) }

// Verb returns the request's verb, C.GET or C.SET.
func (c *Command) Verb() string {
	if c.Write {
		return string(setVerb)
	}
	return string(getVerb)
}

// Key returns the requested key.
func (c *Command) Key() string { return string(c.args[keyArg]) }

// Value returns the value that a write sets, and nil for a read.
func (c *Command) Value() []byte {
	if !c.Write {
		return nil
	}
	return c.args[valueArg]
}

// Parse parses the arguments of a C.GET or C.SET whose class must be one of classes. The command retains the arguments but
// not the args slice itself. The error's text is sent to the client.
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

// applyClass sets the fields that depend on the request's class. The semantics come from the class and not from the verb:
// the settings may declare a read as not idempotent, and a write as idempotent.
func (c *Command) applyClass(class *decide.Class, hasIdempotencyKey bool) {
	c.Class = class.Name
	// Without the idempotency key, no cache can drop a repeat of the request.
	c.IdempotencyKeyMissing = class.Semantics == decide.IdempotentByKey && !hasIdempotencyKey
	c.Idempotent = class.Semantics == decide.Idempotent
	if class.ClientTimeout > 0 {
		// Without this bound, the request and its timers would last for as long as the client claims to wait.
		c.Timeout = min(c.Timeout, class.ClientTimeout)
	}
}

// metadata holds the parts of the metadata that Parse needs and that are not fields of Command.
type metadata struct {
	class             []byte // slice of the metadata argument
	hasIdempotencyKey bool
}

// parseMetadata parses the comma-separated list of name=value pairs.
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
				return metadata{}, errDuplicateClass
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

// parseTimeout parses the client's timeout. end is the offset in the metadata at which its number ends.
func (c *Command) parseTimeout(value []byte, end int) error {
	milliseconds, err := strconv.ParseUint(string(value), 10, 31)
	if err != nil || c.timeoutEnd > 0 {
		return errInvalidTimeout
	}
	c.Timeout = Time(milliseconds) * microsecondsPerMillisecond
	c.timeoutStart, c.timeoutEnd = end-len(value), end
	return nil
}

// Encode appends the request in the form that the router forwards to a cache: the client's arguments, with wait, the time
// for which the router waits, in place of the client's timeout.
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

// appendMetadata appends the metadata as a bulk string, with wait in place of the timeout. The timeout is at least 1 ms,
// since 0 would be invalid.
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
	const maxMethodBytes = 32 // covers the longest method or header name compared here
	first := strings.ToUpper(string(args[0][:min(len(args[0]), maxMethodBytes)]))
	return first == "POST" || first == "HOST:" || bytes.Contains(args[len(args)-1], []byte("HTTP/"))
}
