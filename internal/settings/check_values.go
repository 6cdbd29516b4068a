package settings

import (
	"strconv"
	"strings"

	"starlingwinch/internal/configerror"
)

// Checks of values beyond their ranges.

// seed checks that a text is a hexadecimal number.
func (c *checker) seed(at string, v values) {
	s := v.text("")
	if s == "" {
		return
	}
	if _, err := strconv.ParseUint(s, 16, 64); err != nil {
		c.bad(at, "not a seed (%s, wanted 1 to 16 hexadecimal digits)", configerror.Quote(s))
	}
}

// sockets checks that a number of descriptors is 0 or enough.
func (c *checker) sockets(at string, v values) {
	if n, _ := v.integer(""); n > 0 && n < MinSockets {
		c.bad(at, "out of range (%d, wanted at least %d descriptors, or 0 for the default)", n, MinSockets)
	}
}

// since checks that a time is in milliseconds, as that field alone is.
func (c *checker) since(at string, v values) {
	const year2200 = 7_258_118_400_000
	if n, _ := v.integer(""); n > year2200 {
		c.bad(at, "looks like microseconds; milliseconds are wanted (%d, wanted 0 to %d ms)", n, int64(year2200))
	}
}

// duplicate reports an entry whose name an earlier one of its array has.
func (c *checker) duplicate(at, what, name string) {
	if name == "" {
		return
	}
	path, index, _ := strings.Cut(at, "[")
	n, _ := strconv.Atoi(strings.TrimSuffix(index, "]"))
	if first, taken := c.names[name]; taken {
		c.bad(at+".name", "names a second %s %s (the first is %s[%d])", what, configerror.Quote(name), path, first)
		return
	}
	c.names[name] = n
}

// endpoint checks a cache. One that has terminated needs no address.
func (c *checker) endpoint(at string, v values) {
	if name, ok := v["name"].(string); ok && name == "" {
		c.bad(at+".name", "empty (wanted 1 to %d bytes)", maxTextBytes)
	}
	c.duplicate(at, "cache", v.text("name"))
	if s := v.text("address"); v.text("status") != "terminated" {
		if reason := addressError(s, true); reason != "" {
			c.bad(at+".address", "%s (%s, wanted IP:PORT)", reason, configerror.Quote(s))
		}
	}
}

// classes checks the number of classes.
func (c *checker) classes(at string, v values) {
	if n, _ := v.integer(""); n == 0 {
		c.bad(at, "no classes (wanted at least 1)")
	}
}

// class checks a class's figures beside one another, and that a keyed one has what it needs.
func (c *checker) class(at string, v values) {
	if name, ok := v["name"].(string); ok && name == "" {
		c.bad(at+".name", "empty (wanted 1 to %d bytes)", maxTextBytes)
	}
	c.duplicate(at, "class", v.text("name"))
	objective, hasObjective := v.integer("aim")
	timeout, hasTimeout := v.integer("hardLimit")
	if hasObjective && hasTimeout && objective > timeout {
		c.bad(at+".aim", "above hardLimit (%d, wanted at most %d µs)", objective, timeout)
	}
	if v.text("effect") != "idempotency_key" {
		return
	}
	if _, ok := v["dedupScope"]; !ok {
		c.bad(at+".dedupScope", "needed for a keyed class, and missing or wrong (wanted all, zone or cell)")
	}
	if window, ok := v.integer("keyTtl"); !ok || window == 0 {
		c.bad(at+".keyTtl", "needed for a keyed class, and missing or wrong (wanted 10000 to %d µs)", int64(MaxTime))
	}
}
