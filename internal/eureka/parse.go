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
	maxInstances       = 10_000   // that are up; as many that are not up are taken beyond them
	maxListedInstances = 100_000  // that are read at all
	maxMetadataSize    = 16 << 10 // of an instance; bytes
	maxNameLength      = 256      // of an id, zone or application; bytes
	maxFaults          = 20       // that are listed; more are counted
)

// utf8BOM is the byte order mark that some servers put before the text.
const utf8BOM = "\xef\xbb\xbf"

// List is a response of a registry, checked.
type List struct {
	Hash           string // the hash code that it declares; "" is that of no instance
	Hashed         bool   // it declares one
	Version        int64  // of a delta; 0 where it has none
	Instances      []Instance
	Faults         []string // what can't be read, for the log
	truncated      bool     // it holds fewer instances than the registry has sent
	unlistedFaults int      // beyond maxFaults
}

// Parse reads a response to /apps, /apps/APP, /apps/delta or /vips/VIP. It returns an error where nothing of it can be used.
// Else each instance is checked by itself, and the faults are named in List.Faults.
//
// It walks over the response and decodes one instance at a time: decoded as a whole, a body of empty lists within lists would
// take many times its size.
func Parse(body []byte, keys MetadataKeys) (List, error) {
	body = bytes.TrimPrefix(body, []byte(utf8BOM))
	body = bytes.TrimLeft(body, " \t\r\n")
	switch {
	case len(body) == 0:
		return List{}, errors.New("the answer is empty")
	case body[0] == '<':
		return List{}, errors.New("the answer is XML or HTML; JSON is wanted, of a registry's path such as /eureka")
	case body[0] != '{':
		return List{}, errors.New("the answer is no JSON object")
	}
	p := parser{body: body, decoder: json.NewDecoder(bytes.NewReader(body)), keys: keys}
	if err := p.response(); err != nil {
		return List{}, fmt.Errorf("list of instances: %w", err)
	}
	if len(p.list.Instances) == 0 && p.unidentified > 0 { // without ids, it is not known which instances are present
		return List{}, fmt.Errorf("list of instances: none can be used: %s", p.list.Faults[0])
	}
	if p.list.unlistedFaults > 0 {
		p.list.Faults = append(p.list.Faults, fmt.Sprintf("%d faults more", p.list.unlistedFaults))
	}
	return p.list, nil
}

// parser walks over a response.
type parser struct {
	body         []byte
	decoder      *json.Decoder
	keys         MetadataKeys
	raw          json.RawMessage // the value that was read last
	list         List            // so far
	application  string          // the name of the current application
	instances    int             // that were read so far
	unidentified int             // of these, without an id that can be used
}

// response reads the object that a response is.
func (p *parser) response() error {
	found := false
	err := p.object(func(key string) error {
		switch key {
		case "applications":
			found = true
			return p.applications()
		case "application":
			found = true
			return p.each(p.parseApplication)
		}
		return p.skip()
	})
	switch {
	case err != nil:
		return err
	case len(bytes.TrimSpace(p.body[p.decoder.InputOffset():])) > 0:
		return errors.New("more follows the answer")
	case !found:
		return errors.New("neither applications nor application stands in it")
	}
	return nil
}

// next returns the first byte of the next value; 0 at the end.
func (p *parser) next() byte {
	for _, c := range p.body[p.decoder.InputOffset():] {
		switch c {
		case ' ', '\t', '\r', '\n', ',', ':':
		default:
			return c
		}
	}
	return 0
}

// skip reads a value into p.raw. The decoder bounds its depth.
func (p *parser) skip() error { return p.decoder.Decode(&p.raw) }

// object reads an object, each value by a call with its key in lower case. Null is an empty object.
func (p *parser) object(value func(key string) error) error {
	if p.next() != '{' {
		if p.skip() == nil && string(p.raw) == "null" {
			return nil
		}
		return errors.New("an object is wanted")
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

// each reads a list, each entry by a call. A bare value is a list of one; null is an empty list.
func (p *parser) each(entry func() error) error {
	switch p.next() {
	case '[':
	case 'n':
		return p.skip()
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

// applications reads the object that holds all applications.
func (p *parser) applications() error {
	return p.object(func(key string) error {
		switch key {
		case "apps__hashcode":
			isNull := p.next() == 'n'
			var hash lenientText
			err := p.decoder.Decode(&hash)
			p.list.Hash, p.list.Hashed = hash.value, !isNull && !hash.invalid
			return err
		case "versions__delta":
			var version lenientNumber
			err := p.decoder.Decode(&version)
			p.list.Version = version.value
			return err
		case "application":
			return p.each(p.parseApplication)
		}
		return p.skip()
	})
}

// parseApplication reads one application. Its name may follow its instances.
func (p *parser) parseApplication() error {
	if p.next() != '{' {
		p.addFault("an application that is no object")
		return p.skip()
	}
	p.application = ""
	first := len(p.list.Instances)
	err := p.object(func(key string) error {
		switch key {
		case "name":
			var name lenientText
			err := p.decoder.Decode(&name)
			p.application = strings.ToUpper(name.value)
			return err
		case "instance":
			return p.each(p.parseInstance)
		}
		return p.skip()
	})
	if p.application != "" && len(p.application) <= maxNameLength {
		for i := first; i < len(p.list.Instances); i++ {
			p.list.Instances[i].App = p.application
		}
	}
	return err
}

// parseInstance reads one instance. The number of those that are read is bounded, as millions of empty ones would take seconds.
func (p *parser) parseInstance() error {
	if err := p.skip(); err != nil {
		return err
	}
	place := p.instances
	p.instances++
	if p.instances > maxListedInstances || p.unidentified > maxInstances {
		return fmt.Errorf("more than %d instances, or more than %d that have no id", maxListedInstances, maxInstances)
	}
	var wire instanceJSON
	if p.raw[0] != '{' || json.Unmarshal(p.raw, &wire) != nil {
		p.unidentified++
		p.addFault("instance %d: not an object", place)
		return nil
	}
	instance, ok := p.checkInstance(place, &wire)
	if !ok {
		p.unidentified++
		return nil
	}
	return p.addInstance(place, instance)
}

// addInstance adds an instance to the list. Beyond maxInstances, those that are not up are still added, up to as many again.
func (p *parser) addInstance(place int, i Instance) error {
	if len(p.list.Instances) < maxInstances {
		p.list.Instances = append(p.list.Instances, i)
		return nil
	}
	isUp := i.Change != Deleted && i.EffectiveStatus == statusUp
	if isUp {
		if !p.list.truncated {
			p.addFault("instance %d: instances that are up past the first %d are not used", place, maxInstances)
		}
		p.list.truncated = true
		return nil
	}
	p.list.Instances = append(p.list.Instances, i)
	if len(p.list.Instances) > 2*maxInstances {
		return fmt.Errorf("more than %d instances that take no work", maxInstances)
	}
	p.list.truncated = true
	return nil
}

// addFault notes what is wrong. The number of texts is bounded, as a list of broken instances would fill the log.
func (p *parser) addFault(format string, args ...any) {
	if len(p.list.Faults) == maxFaults {
		p.list.unlistedFaults++
		return
	}
	p.list.Faults = append(p.list.Faults, fmt.Sprintf(format, args...))
}
