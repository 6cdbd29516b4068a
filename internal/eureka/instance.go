package eureka

import (
	"encoding/json"
	"fmt"
	"math"
	"net/netip"
	"strconv"
	"strings"
)

// MetadataKeys are the keys of an instance's metadata that describe an endpoint; "" for none.
type MetadataKeys struct {
	Zone             string
	Group            string
	Weight           string
	Start            string // of the start time, Unix time in milliseconds
	AvailabilityZone bool   // where Zone gives none, the zone of the data centre counts
	ServiceUp        bool   // where Start gives none, serviceUpTimestamp counts
}

// Change says what a list reports of an instance.
type Change uint8

const (
	Listed  Change = iota // in a full list, or ADDED or MODIFIED in a delta
	Deleted               // DELETED in a delta
)

// Instance is one instance of a list, checked.
type Instance struct {
	App             string // application, in upper case as registries have it
	ID              string
	VIP             string // virtual addresses, separated by commas
	Address         string // IP address and port; "" where there is none that can be used: then Unusable
	Status          string // as listed, for the hash code
	EffectiveStatus string // the status that counts, with its override
	Change          Change
	Unusable        bool // it can't be used as an endpoint

	Zone          string
	Group         int
	Weight        float64
	StartedAt     Time // 0 is long ago
	RenewedAt     Time // the latest renewal, by the registry's clock; 0 where it does not say
	UpdatedAt     Time // the latest change, by the registry's clock; 0 where it does not say
	LeaseDuration Time // for how long a renewal holds
}

// maxLeaseSeconds bounds a lease, so that its microseconds can't overflow.
const maxLeaseSeconds = 1 << 31

// instanceJSON is an instance as it stands on the wire. Keys match in any case.
type instanceJSON struct {
	InstanceID  lenientText   `json:"instanceId"`
	App         lenientText   `json:"app"`
	HostName    lenientText   `json:"hostName"`
	IPAddr      lenientText   `json:"ipAddr"`
	VIPAddress  lenientText   `json:"vipAddress"`
	Status      lenientStatus `json:"status"`
	Overridden  lenientStatus `json:"overriddenStatus"`
	Port        lenientPort   `json:"port"`
	ActionType  lenientText   `json:"actionType"`
	LastUpdated lenientNumber `json:"lastUpdatedTimestamp"`
	Metadata    lenientMetadata
	LeaseInfo   leaseJSON
	DataCenter  dataCenterJSON `json:"dataCenterInfo"`
}

// leaseJSON is the lease of an instance on the wire.
type leaseJSON struct {
	DurationInSecs       lenientNumber
	LastRenewalTimestamp lenientNumber
	RenewalTimestamp     lenientNumber // an old server's spelling of LastRenewalTimestamp
	ServiceUpTimestamp   lenientNumber
}

// UnmarshalJSON implements json.Unmarshaler. A lease that is no object is empty.
func (l *leaseJSON) UnmarshalJSON(raw []byte) error {
	type plain leaseJSON
	json.Unmarshal(raw, (*plain)(l))
	return nil
}

// dataCenterJSON is the data centre of an instance on the wire.
type dataCenterJSON struct {
	Metadata struct {
		InstanceID lenientText `json:"instance-id"`
		Zone       lenientText `json:"availability-zone"`
	}
}

// UnmarshalJSON implements json.Unmarshaler. A data centre that is no object is empty.
func (d *dataCenterJSON) UnmarshalJSON(raw []byte) error {
	type plain dataCenterJSON
	json.Unmarshal(raw, (*plain)(d))
	return nil
}

// id is the id of an instance. Old servers have it elsewhere.
func (in *instanceJSON) id() string {
	for _, id := range []string{in.InstanceID.value, in.DataCenter.Metadata.InstanceID.value} {
		if id != "" {
			return id
		}
	}
	return in.HostName.value
}

// address returns where an instance serves, or the field that is wrong and its problem. Host names are not resolved.
func (in *instanceJSON) address() (address, field, problem string) {
	field, host := "ipAddr", in.IPAddr.value
	if host == "" {
		field, host = "hostName", in.HostName.value
	}
	ip, err := netip.ParseAddr(host)
	if err != nil || ip.Zone() != "" {
		return "", field, fmt.Sprintf("%.60q is no IP address", host)
	}
	port := in.Port.value
	switch {
	case in.Port.disabled:
		return "", "port", "not enabled"
	case in.Port.invalid || port < 1 || port > math.MaxUint16:
		return "", "port", fmt.Sprintf("%d is no port", port)
	}
	return netip.AddrPortFrom(ip.Unmap(), uint16(port)).String(), "", ""
}

// checkInstance checks the instance at this place of the list, and notes its faults. It reports whether the instance has a
// usable id.
func (p *parser) checkInstance(place int, in *instanceJSON) (instance Instance, ok bool) {
	lastRenewal := max(in.LeaseInfo.LastRenewalTimestamp.timestamp(), in.LeaseInfo.RenewalTimestamp.timestamp())
	i := Instance{
		ID:              in.id(),
		App:             strings.ToUpper(in.App.value),
		VIP:             in.VIPAddress.value,
		Status:          in.Status.value,
		EffectiveStatus: effectiveStatus(in.Status.value, in.Overridden.value),
		Weight:          1,
		RenewedAt:       lastRenewal,
		UpdatedAt:       in.LastUpdated.timestamp(),
		LeaseDuration:   max(0, min(in.LeaseInfo.DurationInSecs.value, maxLeaseSeconds)) * second,
	}
	if i.Status == "" {
		i.Status = statusUnknown
	}
	if i.ID == "" || len(i.ID) > maxNameLength || len(i.App) > maxNameLength {
		p.addFault("instance %d: instanceId: empty or too long (%.40q)", place, i.ID)
		return i, false
	}
	faults := instanceFaults{parser: p, place: place, id: i.ID}
	if len(i.VIP) > maxMetadataSize {
		faults.add("vipAddress", "too long: taken for none")
		i.VIP = ""
	}
	if strings.EqualFold(in.ActionType.value, "DELETED") {
		i.Change = Deleted
		return i, true
	}
	address, field, problem := in.address()
	i.Address = address
	if address == "" {
		i.Unusable = true
		faults.add(field, problem)
	}
	texts, problem := in.Metadata.decode()
	if problem != "" {
		i.Unusable = true
		faults.add("metadata", problem)
	}
	description := descriptionReader{keys: p.keys, wire: in, texts: texts, faults: faults}
	i.Zone = description.zone()
	i.Group = description.group()
	i.Weight = description.weight()
	i.StartedAt = description.startedAt()
	return i, true
}

// instanceFaults notes the faults of one instance.
type instanceFaults struct {
	parser *parser
	place  int // of the instance in the list
	id     string
}

// add notes a fault of a field.
func (f instanceFaults) add(field, problem string) {
	f.parser.addFault("instance %d, %.80q: %s: %s", f.place, f.id, field, problem)
}

// descriptionReader reads what an instance's metadata says of it. A value that can't be read is reported, and its default is
// used.
type descriptionReader struct {
	keys   MetadataKeys
	wire   *instanceJSON
	texts  map[string]lenientText // the metadata, by key
	faults instanceFaults
}

// text is the value of a key; "" where there is none.
func (r *descriptionReader) text(key string) string {
	if key == "" {
		return ""
	}
	return strings.TrimSpace(r.texts[key].value)
}

func (r *descriptionReader) zone() string {
	zone := r.text(r.keys.Zone)
	if zone == "" && r.keys.AvailabilityZone {
		zone = r.wire.DataCenter.Metadata.Zone.value
	}
	if len(zone) > maxNameLength {
		r.faults.add("metadata."+r.keys.Zone, "too long: taken for none")
		return ""
	}
	return zone
}

func (r *descriptionReader) group() int {
	text := r.text(r.keys.Group)
	if text == "" {
		return 0
	}
	group, err := strconv.ParseInt(text, 10, 32)
	if err != nil {
		r.faults.add("metadata."+r.keys.Group, fmt.Sprintf("%.40q is no number of a group: taken for 0", text))
		return 0
	}
	return int(group)
}

func (r *descriptionReader) weight() float64 {
	text := r.text(r.keys.Weight)
	if text == "" {
		return 1
	}
	weight, err := strconv.ParseFloat(text, 64)
	if err != nil || !(weight >= 0) || math.IsInf(weight, 0) {
		r.faults.add("metadata."+r.keys.Weight, fmt.Sprintf("%.40q is no weight: taken for 1", text))
		return 1
	}
	return weight
}

func (r *descriptionReader) startedAt() Time {
	text := r.text(r.keys.Start)
	if text == "" {
		if r.keys.ServiceUp {
			return r.wire.LeaseInfo.ServiceUpTimestamp.timestamp()
		}
		return 0
	}
	milliseconds, err := strconv.ParseInt(text, 10, 64)
	if err != nil || milliseconds < 0 {
		r.faults.add("metadata."+r.keys.Start, fmt.Sprintf("%.40q is no time in ms: taken for long ago", text))
	}
	start := lenientNumber{value: milliseconds} // of a number out of range, ParseInt returns the bound
	return start.timestamp()
}
