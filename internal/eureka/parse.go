package eureka

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
)

// Bounds of a list. The size of a response is bounded by Options.MaxBodyBytes.
const (
	maxInstances       = 10_000   // instances used; as many again are used if they are not up
	maxListedInstances = 100_000  // instances read
	maxMetadataSize    = 16 << 10 // of an instance; bytes
	maxNameLength      = 256      // of an id, zone or application; bytes
	maxFaults          = 20       // faults with a text; further faults are only counted
)

// utf8BOM is the byte order mark with which some servers begin a response.
const utf8BOM = "\xef\xbb\xbf"

// List is a checked response of a registry.
type List struct {
	Hash           string // declared hash code; "" is the hash code of an empty list
	HasHash        bool   // the response declares a hash code
	Version        int64  // of a delta; 0 if it has none
	Instances      []Instance
	Faults         []string // descriptions of unreadable parts, for the log
	truncated      bool     // the list holds fewer instances than the response
	unlistedFaults int      // faults beyond maxFaults
}

// Parse parses a response to /apps, /apps/APP, /apps/delta or /vips/VIP. It returns an error if no part of the response is
// usable. Otherwise it checks each instance separately and describes the faults in List.Faults.
//
// Parse decodes one instance at a time, since decoding the entire body at once would take many times its size in memory for a
// body of nested empty lists.
func Parse(body []byte, keys MetadataKeys) (List, error) {
	body = bytes.TrimPrefix(body, []byte(utf8BOM))
	body = bytes.TrimLeft(body, " \t\r\n")
	switch {
	case len(body) == 0:
		return List{}, errors.New("the response is empty")
	case body[0] == '<':
		return List{}, errors.New("the response is XML or HTML (wanted JSON from a registry's path such as /eureka)")
	case body[0] != '{':
		return List{}, errors.New("the response is not a JSON object")
	}
	p := parser{body: body, decoder: json.NewDecoder(bytes.NewReader(body)), keys: keys}
	if err := p.readResponse(); err != nil {
		return List{}, fmt.Errorf("list of instances: %w", err)
	}
	if len(p.list.Instances) == 0 && p.unidentified > 0 { // without ids, the present instances are unknown
		return List{}, fmt.Errorf("list of instances: no instance is usable: %s", p.list.Faults[0])
	}
	if p.list.unlistedFaults > 0 {
		p.list.Faults = append(p.list.Faults, fmt.Sprintf("%d more faults", p.list.unlistedFaults))
	}
	return p.list, nil
}

// parser decodes a response piece by piece.
type parser struct {
	body         []byte
	decoder      *json.Decoder
	keys         MetadataKeys
	raw          json.RawMessage // the value read last by readValue
	list         List            // the result so far
	application  string          // name of the current application
	instances    int             // number of instances read so far
	unidentified int             // number of these without a usable id
}

// readResponse reads the entire response, which must be one object.
func (p *parser) readResponse() error {
	found := false
	err := p.readObject(func(key string) error {
		switch key {
		case "applications":
			found = true
			return p.readApplications()
		case "application":
			found = true
			return p.readList(p.parseApplication)
		}
		return p.readValue()
	})
	switch {
	case err != nil:
		return err
	case len(bytes.TrimSpace(p.body[p.decoder.InputOffset():])) > 0:
		return errors.New("unexpected data after the JSON object")
	case !found:
		return errors.New("neither applications nor application is present")
	}
	return nil
}

// peek returns the first byte of the next value without consuming it; 0 at the end.
func (p *parser) peek() byte {
	for _, c := range p.body[p.decoder.InputOffset():] {
		switch c {
		case ' ', '\t', '\r', '\n', ',', ':':
		default:
			return c
		}
	}
	return 0
}

// readValue reads a value into p.raw. The decoder bounds the value's nesting depth.
func (p *parser) readValue() error { return p.decoder.Decode(&p.raw) }

// readObject reads an object. For each field, it calls value with the key in lower case to read the field's value. Null counts
// as an empty object.
func (p *parser) readObject(value func(key string) error) error {
	if p.peek() != '{' {
		if p.readValue() == nil && string(p.raw) == "null" {
			return nil
		}
		return errors.New("not an object")
	}
	if _, err := p.decoder.Token(); err != nil {
		return err
	}
	for p.decoder.More() {
		key, err := p.decoder.Token()
		if err != nil {
			return err
		}
		name, _ := key.(string)
		if err := value(strings.ToLower(name)); err != nil {
			return err
		}
	}
	_, err := p.decoder.Token()
	return err
}

// readList reads a list and calls entry to read each of its entries. A bare value counts as a list of one entry, and null as an
// empty list.
func (p *parser) readList(entry func() error) error {
	switch p.peek() {
	case '[':
	case 'n':
		return p.readValue()
	default:
		return entry()
	}
	if _, err := p.decoder.Token(); err != nil {
		return err
	}
	for p.decoder.More() {
		if err := entry(); err != nil {
			return err
		}
	}
	_, err := p.decoder.Token()
	return err
}

// readApplications reads the object that holds all applications.
func (p *parser) readApplications() error {
	return p.readObject(func(key string) error {
		switch key {
		case "apps__hashcode":
			isNull := p.peek() == 'n'
			var hash lenientText
			err := p.decoder.Decode(&hash)
			p.list.Hash, p.list.HasHash = hash.value, !isNull && !hash.invalid
			return err
		case "versions__delta":
			var version lenientNumber
			err := p.decoder.Decode(&version)
			p.list.Version = version.value
			return err
		case "application":
			return p.readList(p.parseApplication)
		}
		return p.readValue()
	})
}

// parseApplication reads one application. The application's name may follow its instances.
func (p *parser) parseApplication() error {
	if p.peek() != '{' {
		p.addFault("application: not an object")
		return p.readValue()
	}
	p.application = ""
	first := len(p.list.Instances)
	err := p.readObject(func(key string) error {
		switch key {
		case "name":
			var name lenientText
			err := p.decoder.Decode(&name)
			p.application = strings.ToUpper(name.value)
			return err
		case "instance":
			return p.readList(p.parseInstance)
		}
		return p.readValue()
	})
	if p.application != "" && len(p.application) <= maxNameLength {
		for i := first; i < len(p.list.Instances); i++ {
			p.list.Instances[i].App = p.application
		}
	}
	return err
}

// parseInstance reads one instance. The number of instances is bounded, since reading millions of empty ones takes seconds.
func (p *parser) parseInstance() error {
	if err := p.readValue(); err != nil {
		return err
	}
	index := p.instances
	p.instances++
	if p.instances > maxListedInstances || p.unidentified > maxInstances {
		return fmt.Errorf("more than %d instances, or more than %d without a usable id", maxListedInstances, maxInstances)
	}
	var wire instanceJSON
	if p.raw[0] != '{' || json.Unmarshal(p.raw, &wire) != nil {
		p.unidentified++
		p.addFault("instance %d: not an object", index)
		return nil
	}
	instance, ok := p.checkInstance(index, &wire)
	if !ok {
		p.unidentified++
		return nil
	}
	return p.addInstance(index, instance)
}

// addInstance adds an instance to the list. Beyond maxInstances, it adds only instances that are not up, up to as many again.
func (p *parser) addInstance(index int, i Instance) error {
	if len(p.list.Instances) < maxInstances {
		p.list.Instances = append(p.list.Instances, i)
		return nil
	}
	isUp := i.Change != Deleted && i.EffectiveStatus == statusUp
	if isUp {
		if !p.list.truncated {
			p.addFault("instance %d: instances that are up are not used beyond the first %d instances", index, maxInstances)
		}
		p.list.truncated = true
		return nil
	}
	p.list.Instances = append(p.list.Instances, i)
	if len(p.list.Instances) > 2*maxInstances {
		return fmt.Errorf("more than %d further instances that are not up", maxInstances)
	}
	p.list.truncated = true
	return nil
}

// addFault records a fault. The number of fault texts is bounded, so that a list of invalid instances doesn't fill the log.
func (p *parser) addFault(format string, args ...any) {
	if len(p.list.Faults) == maxFaults {
		p.list.unlistedFaults++
		return
	}
	p.list.Faults = append(p.list.Faults, fmt.Sprintf(format, args...))
}
