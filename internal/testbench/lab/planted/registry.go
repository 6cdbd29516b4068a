package planted

import (
	"bytes"
	"strings"
	"time"

	"starlingwinch/internal/machine"
	"starlingwinch/internal/testbench/lab"
)

// InRegistry are the defects of how a registry is followed. They change what a router reads of it, or what it is
// told of how to merge lists, as a router with such a defect would have it.
func InRegistry() []Defect {
	return registered(10*time.Second,
		// Bad news held down like good news: a status that is not UP counts only once it has stood for three seconds.
		tampered("drains damped", "late drain", func(t *tamper) {
			since := map[string]machine.Time{}
			t.registryRead = func(now machine.Time, b []byte) {
				eachStatus(b, func(id string, status []byte) {
					if !bytes.HasPrefix(status, []byte(`"OUT_OF_SERVICE"`)) {
						return
					}
					if since[id] == 0 {
						since[id] = now
					}
					if now-since[id] < 3_000_000 {
						blank(status, `"UP"`)
					}
				})
			}
		}),
		Defect{Name: "an empty list obeyed unconfirmed", Rule: lab.Partitioned, Apply: func(o *lab.Options) {
			start := o.Node
			o.Node = func(m machine.Machine, c lab.NodeConfig) (lab.Node, error) {
				for i := range c.Operator {
					if f := &c.Operator[i]; f.Kind == "membership" {
						f.Text += "[loss]\npercent = 100\n" // no list leaves out more than that
					}
				}
				return start(m, c)
			}
		}},
		// A list without a hash code is taken as it is, and so one is taken that has lost a change.
		tampered("a lost delta unnoticed", "late drain", func(t *tamper) {
			t.registryRead = func(_ machine.Time, b []byte) {
				for {
					i := bytes.Index(b, []byte(`"apps__hashcode"`))
					if i < 0 {
						return
					}
					copy(b[i:], `"apps__xxxxxxxx"`)
				}
			}
		}),
	)
}

// registered are defects that show in worlds with a registry, in scripts of that length.
func registered(length time.Duration, all ...Defect) []Defect {
	for i := range all {
		all[i].Registry, all[i].Length = true, length
	}
	return all
}

// registryPort ends the address of each server of a registry in the lab.
const registryPort = ":8761"

// eachStatus finds the statuses in a piece of an answer, each with the id before it. One that is cut in two is not
// found.
func eachStatus(b []byte, found func(id string, status []byte)) {
	const idKey, statusKey, overrideKey = `"instanceId":"`, `"status":`, `"overriddenStatus":`
	for {
		i := bytes.Index(b, []byte(idKey))
		if i < 0 {
			return
		}
		b = b[i+len(idKey):]
		end := bytes.IndexByte(b, '"')
		at := bytes.Index(b, []byte(statusKey))
		if end < 0 || at < end {
			return
		}
		status := b[at+len(statusKey):]
		// Status and override stand one behind the other, as the operator has set both.
		for range 2 {
			comma := bytes.IndexByte(status, ',')
			if comma < 0 {
				break
			}
			found(string(b[:end]), status[:comma])
			var ok bool
			if status, ok = bytes.CutPrefix(status[comma+1:], []byte(overrideKey)); !ok {
				break
			}
		}
		b = b[end:]
	}
}

// blank writes a shorter text in the place of a longer one; JSON takes the spaces behind it.
func blank(b []byte, text string) {
	if len(b) >= len(text) {
		copy(b, text+strings.Repeat(" ", len(b)-len(text)))
	}
}

// wrongRegistry is a connection to a registry, which is asked for answers that are not packed.
type wrongRegistry struct {
	machine.Conn
	t *tamper
}

// Write implements machine.Conn.
func (c *wrongRegistry) Write(b []byte) (int, error) {
	return c.Conn.Write(bytes.Replace(b, []byte("Accept-Encoding: gzip"), []byte("Accept-Encoding: nogz"), 1))
}

// Read implements machine.Conn.
func (c *wrongRegistry) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.t.registryRead(c.t.Now(), b[:n])
	return n, err
}
