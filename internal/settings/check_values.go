package settings

import (
	"strconv"
	"strings"

	"starlingwinch/internal/configerror"
)

// checkSeed checks that a text is a hexadecimal number.
func (c *checker) checkSeed(path string, v values) {
	s := v.text("")
	if s == "" {
		return
	}
	if _, err := strconv.ParseUint(s, 16, 64); err != nil {
		c.report(path, "not a seed (%s, wanted 1 to 16 hexadecimal digits)", configerror.Quote(s))
	}
}

// checkSockets checks that a number of descriptors is 0 or at least MinSockets.
func (c *checker) checkSockets(path string, v values) {
	if n, _ := v.integer(""); n > 0 && n < MinSockets {
		c.report(path, "out of range (%d, wanted at least %d descriptors, or 0 for the default)", n, MinSockets)
	}
}

// checkSince rejects a time that is probably in microseconds. All other times of the file are in microseconds, but since_ms is in
// milliseconds.
func (c *checker) checkSince(path string, v values) {
	const year2200 = 7_258_118_400_000
	if n, _ := v.integer(""); n > year2200 {
		c.report(path, "looks like microseconds; milliseconds are wanted (%d, wanted 0 to %d ms)", n, int64(year2200))
	}
}

// checkDuplicate reports an entry of an array that has the same name as an earlier entry. The noun names the kind of entry.
func (c *checker) checkDuplicate(path, noun, name string) {
	if name == "" {
		return
	}
	arrayPath, index, _ := strings.Cut(path, "[")
	n, _ := strconv.Atoi(strings.TrimSuffix(index, "]"))
	if first, found := c.names[name]; found {
		c.report(path+".name", "duplicate %s name %s (first used by %s[%d])", noun, configerror.Quote(name), arrayPath, first)
		return
	}
	c.names[name] = n
}

// checkEndpoint checks a cache. A terminated cache needs no address.
func (c *checker) checkEndpoint(path string, v values) {
	if name, ok := v["name"].(string); ok && name == "" {
		c.report(path+".name", "empty (wanted 1 to %d bytes)", maxTextBytes)
	}
	c.checkDuplicate(path, "cache", v.text("name"))
	if s := v.text("address"); v.text("status") != "terminated" {
		if reason := addressError(s, true); reason != "" {
			c.report(path+".address", "%s (%s, wanted IP:PORT)", reason, configerror.Quote(s))
		}
	}
}

// checkClasses checks that there is at least one class.
func (c *checker) checkClasses(path string, v values) {
	if n, _ := v.integer(""); n == 0 {
		c.report(path, "no classes (wanted at least 1)")
	}
}

// checkClass checks that a class's name is not empty and that no other class has it, that its latency objective is at most its
// client timeout, and that a class with idempotency keys has a deduplication scope and an idempotency window.
func (c *checker) checkClass(path string, v values) {
	if name, ok := v["name"].(string); ok && name == "" {
		c.report(path+".name", "empty (wanted 1 to %d bytes)", maxTextBytes)
	}
	c.checkDuplicate(path, "class", v.text("name"))
	objective, hasObjective := v.integer("aim")
	timeout, hasTimeout := v.integer("hardLimit")
	if hasObjective && hasTimeout && objective > timeout {
		c.report(path+".aim", "above hardLimit (%d, wanted at most %d µs)", objective, timeout)
	}
	if v.text("effect") != "idempotency_key" {
		return
	}
	if _, ok := v["dedupScope"]; !ok {
		c.report(path+".dedupScope", "required for a class with idempotency keys, but missing or invalid (wanted all, zone or cell)")
	}
	if window, ok := v.integer("keyTtl"); !ok || window == 0 {
		c.report(path+".keyTtl", "required for a class with idempotency keys, but missing or invalid (wanted 10000 to %d µs)", int64(MaxTime))
	}
}
