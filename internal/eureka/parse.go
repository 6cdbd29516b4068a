package eureka

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"strconv"
	"strings"
)

// Bounds of an answer; that of its size is the operators'.
const (
	mostInstances = 10_000
	mostListed    = 100_000  // instances that are read at all
	mostMetadata  = 16 << 10 // bytes of an instance's
	mostName      = 256      // bytes of an id, a zone, an application
	mostFaults    = 20       // that are worded; more are counted
)

// Names are the keys of metadata under which instances tell what the router wants to know. "" for none.
type Names struct {
	Zone, Group, Weight string
	Start               string // Unix time in milliseconds
	AvailabilityZone    bool   // where Zone gives none, the data centre's zone counts
	ServiceUp           bool   // where Start gives none, serviceUpTimestamp counts
}

// Change says what a delta tells of an instance.
type Change uint8

const (
	Listed  Change = iota // no delta, or ADDED or MODIFIED
	Deleted               // DELETED
)

// Instance is one instance of a list, checked.
type Instance struct {
	App    string // in upper case, as registries keep it
	ID     string
	VIP    string // virtual addresses, with commas between them
	Addr   string // "" where there is none that can be used: then Unread
	Status string // as listed, for the hash code
	Word   string // the status that counts
	Change Change
	Unread bool // it can't be given work to

	Zone    string
	Group   int
	Weight  float64
	Start   Time
	Renewed Time // its last renewal, and ...
	Updated Time // ... its last change, by the registry's clock; 0 where it does not say
	Lease   Time // how long a renewal holds
}

// List is an answer of a registry, checked.
type List struct {
	Hash      string // what it says that hashCode is; "" is that of no instance
	Hashed    bool   // it says so
	Version   int64  // of a delta; 0 where it gives none
	Instances []Instance
	Faults    []string // what can't be read, for the log
	cut       bool     // it holds fewer instances than the registry has sent
	more      int      // faults beyond those worded
}

// Parse reads an answer to /apps, /apps/APP, /apps/delta or /vips/VIP. An error says that nothing of it can be
// used. Else each instance is taken by itself, and what is wrong is named.
//
// It walks over the lists and reads one instance at a time. The danger: a body of empty lists within lists takes
// many times its size where it is read as a whole.
func Parse(body []byte, names Names) (List, error) {
	body = bytes.TrimPrefix(body, []byte("\xef\xbb\xbf"))
	body = bytes.TrimLeft(body, " \t\r\n")
	switch {
	case len(body) == 0:
		return List{}, errors.New("the answer is empty")
	case body[0] == '<':
		return List{}, errors.New("the answer is XML or HTML; JSON is wanted, of a registry's path such as /eureka")
	case body[0] != '{':
		return List{}, errors.New("the answer is no JSON object")
	}
	p := parser{body: body, dec: json.NewDecoder(bytes.NewReader(body)), names: names}
	found := false
	err := p.object(func(key string) error {
		switch key {
		case "applications":
			found = true
			return p.applications()
		case "application":
			found = true
			return p.each(p.application)
		}
		return p.skip()
	})
	if err == nil && len(bytes.TrimSpace(body[p.dec.InputOffset():])) > 0 {
		err = errors.New("more follows the answer")
	}
	switch {
	case err != nil:
		return List{}, fmt.Errorf("list of instances: %w", err)
	case !found:
		return List{}, errors.New("list of instances: neither applications nor application stands in it")
	}
	if len(p.list.Instances) == 0 && p.nameless > 0 { // its instances can't be told from departed ones
		return List{}, fmt.Errorf("list of instances: none can be used: %s", p.list.Faults[0])
	}
	if p.list.more > 0 {
		p.list.Faults = append(p.list.Faults, fmt.Sprintf("%d faults more", p.list.more))
	}
	return p.list, nil
}

type parser struct {
	body     []byte
	dec      *json.Decoder
	raw      json.RawMessage // the value of the moment
	names    Names
	list     List
	app      string
	at       int // instances so far
	nameless int
}

// next is the first byte of the value to come.
func (p *parser) next() byte {
	for _, c := range p.body[p.dec.InputOffset():] {
		switch c {
		case ' ', '\t', '\r', '\n', ',', ':':
		default:
			return c
		}
	}
	return 0
}

// skip reads a value and forgets it. The decoder bounds how deep it may be.
func (p *parser) skip() error { return p.dec.Decode(&p.raw) }

// object reads an object, each value by a call. Keys are in lower case. Null is an empty one.
func (p *parser) object(value func(key string) error) error {
	if p.next() != '{' {
		if p.skip() == nil && string(p.raw) == "null" {
			return nil
		}
		return errors.New("an object is wanted")
	}
	if _, err := p.dec.Token(); err != nil {
		return err
	}
	for p.dec.More() {
		key, err := p.dec.Token()
		if err != nil {
			return err
		}
		name, _ := key.(string)
		if err := value(strings.ToLower(name)); err != nil {
			return err
		}
	}
	_, err := p.dec.Token()
	return err
}

// each reads a list, each entry by a call. A value that stands bare is a list of one; null is an empty one.
func (p *parser) each(entry func() error) error {
	switch p.next() {
	case '[':
	case 'n':
		return p.skip()
	default:
		return entry()
	}
	if _, err := p.dec.Token(); err != nil {
		return err
	}
	for p.dec.More() {
		if err := entry(); err != nil {
			return err
		}
	}
	_, err := p.dec.Token()
	return err
}

func (p *parser) applications() error {
	return p.object(func(key string) error {
		switch key {
		case "apps__hashcode":
			given := p.next() != 'n' // no null
			var t text
			err := p.dec.Decode(&t)
			p.list.Hash, p.list.Hashed = t.s, given && !t.bad
			return err
		case "versions__delta":
			var n number
			err := p.dec.Decode(&n)
			p.list.Version = n.n
			return err
		case "application":
			return p.each(p.application)
		}
		return p.skip()
	})
}

func (p *parser) application() error {
	if c := p.next(); c != '{' {
		p.fault("an application that is no object")
		return p.skip()
	}
	p.app = ""
	first := len(p.list.Instances)
	err := p.object(func(key string) error {
		switch key {
		case "name":
			var t text
			err := p.dec.Decode(&t)
			p.app = strings.ToUpper(t.s)
			return err
		case "instance":
			return p.each(p.instance)
		}
		return p.skip()
	})
	for i := first; i < len(p.list.Instances); i++ { // the name may stand behind the instances
		if in := &p.list.Instances[i]; p.app != "" && len(p.app) <= mostName {
			in.App = p.app
		}
	}
	return err
}

// fault words what is wrong. The danger: a long list of broken instances fills the log.
func (p *parser) fault(format string, args ...any) {
	if len(p.list.Faults) == mostFaults {
		p.list.more++
		return
	}
	p.list.Faults = append(p.list.Faults, fmt.Sprintf(format, args...))
}

// wireInstance is an instance as it comes. Names are taken in any case.
type wireInstance struct {
	InstanceID  text   `json:"instanceId"`
	App         text   `json:"app"`
	HostName    text   `json:"hostName"`
	IPAddr      text   `json:"ipAddr"`
	VIPAddress  text   `json:"vipAddress"`
	Status      word   `json:"status"`
	Overridden  word   `json:"overriddenStatus"`
	Port        port   `json:"port"`
	ActionType  text   `json:"actionType"`
	LastUpdated number `json:"lastUpdatedTimestamp"`
	Metadata    metadata
	LeaseInfo   wireLease
	DataCenter  wireDataCenter `json:"dataCenterInfo"`
}

type wireLease struct {
	DurationInSecs       number
	LastRenewalTimestamp number
	// An old server's spelling of the same.
	RenewalTimestamp   number
	ServiceUpTimestamp number
}

// UnmarshalJSON implements json.Unmarshaler.
func (l *wireLease) UnmarshalJSON(b []byte) error {
	type plain wireLease
	json.Unmarshal(b, (*plain)(l)) // one that is no object tells nothing
	return nil
}

type wireDataCenter struct {
	Metadata struct {
		InstanceID text `json:"instance-id"`
		Zone       text `json:"availability-zone"`
	}
}

// UnmarshalJSON implements json.Unmarshaler.
func (d *wireDataCenter) UnmarshalJSON(b []byte) error {
	type plain wireDataCenter
	json.Unmarshal(b, (*plain)(d))
	return nil
}

func (p *parser) instance() error {
	if err := p.skip(); err != nil {
		return err
	}
	at := p.at
	// The danger: millions of empty ones take seconds.
	if p.at++; p.at > mostListed || p.nameless > mostInstances {
		return fmt.Errorf("more than %d instances, or more than %d that have no id", mostListed, mostInstances)
	}
	var in wireInstance
	if p.raw[0] != '{' || json.Unmarshal(p.raw, &in) != nil {
		p.nameless++
		p.fault("instance %d: not an object", at)
		return nil
	}
	i, ok := p.read(at, &in)
	switch {
	case !ok:
		p.nameless++
	case len(p.list.Instances) < mostInstances:
		p.list.Instances = append(p.list.Instances, i)
	case i.Change == Deleted || i.Word != statusUp: // bad news past the bound is still learned, up to twice of it
		if p.list.Instances = append(p.list.Instances, i); len(p.list.Instances) > 2*mostInstances {
			return fmt.Errorf("more than %d instances that take no work", mostInstances)
		}
		p.list.cut = true
	default:
		if !p.list.cut {
			p.fault("instance %d: instances that are up past the first %d are not used", at, mostInstances)
		}
		p.list.cut = true
	}
	return nil
}

// read checks one instance. It is false where nothing of it can be used.
func (p *parser) read(at int, in *wireInstance) (Instance, bool) {
	i := Instance{
		ID:      in.InstanceID.s,
		App:     strings.ToUpper(in.App.s),
		VIP:     in.VIPAddress.s,
		Status:  in.Status.s,
		Word:    effective(in.Status.s, in.Overridden.s),
		Weight:  1,
		Renewed: max(in.LeaseInfo.LastRenewalTimestamp.stamp(), in.LeaseInfo.RenewalTimestamp.stamp()),
		Updated: in.LastUpdated.stamp(),
		Lease:   max(0, min(in.LeaseInfo.DurationInSecs.n, 1<<31)) * 1_000_000,
	}
	for _, other := range []string{in.DataCenter.Metadata.InstanceID.s, in.HostName.s} {
		if i.ID == "" { // as old servers have it
			i.ID = other
		}
	}
	if i.Status == "" {
		i.Status = statusUnknown
	}
	if i.ID == "" || len(i.ID) > mostName || len(i.App) > mostName {
		p.fault("instance %d: instanceId: empty or too long (%.40q)", at, i.ID)
		return i, false
	}
	bad := func(field, what string) { p.fault("instance %d, %.80q: %s: %s", at, i.ID, field, what) }
	if len(i.VIP) > mostMetadata {
		bad("vipAddress", "too long: taken for none")
		i.VIP = ""
	}
	if strings.EqualFold(in.ActionType.s, "DELETED") {
		i.Change = Deleted
		return i, true
	}
	addr, field, what := address(in)
	if i.Addr = addr; addr == "" {
		i.Unread = true
		bad(field, what)
	}
	all, what := in.Metadata.read()
	if what != "" {
		i.Unread = true
		bad("metadata", what)
	}
	p.describe(&i, in, all, bad)
	return i, true
}

// describe takes over what metadata says. What can't be read there is taken for its default.
func (p *parser) describe(i *Instance, in *wireInstance, all map[string]text, bad func(field, what string)) {
	value := func(name string) string {
		if name == "" {
			return ""
		}
		return strings.TrimSpace(all[name].s)
	}
	i.Zone = value(p.names.Zone)
	if i.Zone == "" && p.names.AvailabilityZone {
		i.Zone = in.DataCenter.Metadata.Zone.s
	}
	if len(i.Zone) > mostName {
		bad("metadata."+p.names.Zone, "too long: taken for none")
		i.Zone = ""
	}
	if s := value(p.names.Group); s != "" {
		group, err := strconv.ParseInt(s, 10, 32)
		if err != nil {
			bad("metadata."+p.names.Group, fmt.Sprintf("%.40q is no number of a group: taken for 0", s))
			group = 0
		}
		i.Group = int(group)
	}
	if s := value(p.names.Weight); s != "" {
		weight, err := strconv.ParseFloat(s, 64)
		if err != nil || !(weight >= 0) || math.IsInf(weight, 0) {
			bad("metadata."+p.names.Weight, fmt.Sprintf("%.40q is no weight: taken for 1", s))
			weight = 1
		}
		i.Weight = weight
	}
	if s := value(p.names.Start); s != "" {
		ms, err := strconv.ParseInt(s, 10, 64)
		if err != nil || ms < 0 {
			bad("metadata."+p.names.Start, fmt.Sprintf("%.40q is no time in ms: taken for long ago", s))
		}
		start := number{n: ms}
		i.Start = start.stamp()
	} else if p.names.ServiceUp {
		i.Start = in.LeaseInfo.ServiceUpTimestamp.stamp()
	}
}

// address is where an instance serves, or the field that is wrong. Names are not looked up.
func address(in *wireInstance) (addr, field, what string) {
	field, host := "ipAddr", in.IPAddr.s
	if host == "" {
		field, host = "hostName", in.HostName.s
	}
	ip, err := netip.ParseAddr(host)
	if err != nil || ip.Zone() != "" {
		return "", field, fmt.Sprintf("%.60q is no IP address", host)
	}
	switch {
	case in.Port.off:
		return "", "port", "not enabled"
	case in.Port.bad || in.Port.n < 1 || in.Port.n > 65535:
		return "", "port", fmt.Sprintf("%d is no port", in.Port.n)
	}
	return netip.AddrPortFrom(ip.Unmap(), uint16(in.Port.n)).String(), "", ""
}
