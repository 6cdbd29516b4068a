package eureka

import (
	"encoding/json"
	"fmt"
	"math"
	"net/netip"
	"strconv"
	"strings"
)

// MetadataKeys are the metadata keys under which an instance describes its endpoint; "" for none.
type MetadataKeys struct {
	Zone             string
	Group            string
	Weight           string
	Start            string // the value is Unix time in milliseconds
	AvailabilityZone bool   // without a zone in the metadata, use the data centre's availability zone
	ServiceUp        bool   // without a start time in the metadata, use serviceUpTimestamp
}

// Change is the kind of entry that a list holds for an instance.
type Change uint8

const (
	Listed  Change = iota // in a full list, or ADDED or MODIFIED in a delta
	Deleted               // DELETED in a delta
)

// Instance is one checked instance of a list.
type Instance struct {
	App             string // application name, in upper case as in registries
	ID              string
	VIP             string // virtual addresses, separated by commas
	Address         string // IP address and port; "" if there is no usable address, and Unusable is then set
	Status          string // as listed, for the hash code
	EffectiveStatus string // the status with the override applied
	Change          Change
	Unusable        bool // the instance can't be used as an endpoint

	Zone          string
	Group         int
	Weight        float64
	StartedAt     Time // 0 for long ago
	RenewedAt     Time // latest renewal, by the registry's clock; 0 if unknown
	UpdatedAt     Time // latest change, by the registry's clock; 0 if unknown
	LeaseDuration Time // validity of a renewal
}

// maxLeaseSeconds bounds a lease, so that its value in microseconds can't overflow.
const maxLeaseSeconds = 1 << 31

// instanceJSON is the wire format of an instance. Keys match in any case.
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

// leaseJSON is the wire format of an instance's lease.
type leaseJSON struct {
	DurationInSecs       lenientNumber
	LastRenewalTimestamp lenientNumber
	RenewalTimestamp     lenientNumber // old servers' name of LastRenewalTimestamp
	ServiceUpTimestamp   lenientNumber
}

// UnmarshalJSON implements json.Unmarshaler. A value that is not an object decodes as an empty lease.
func (l *leaseJSON) UnmarshalJSON(raw []byte) error {
	type plain leaseJSON
	json.Unmarshal(raw, (*plain)(l))
	return nil
}

// dataCenterJSON is the wire format of an instance's data centre.
type dataCenterJSON struct {
	Metadata struct {
		InstanceID lenientText `json:"instance-id"`
		Zone       lenientText `json:"availability-zone"`
	}
}

// UnmarshalJSON implements json.Unmarshaler. A value that is not an object decodes as an empty data centre.
func (d *dataCenterJSON) UnmarshalJSON(raw []byte) error {
	type plain dataCenterJSON
	json.Unmarshal(raw, (*plain)(d))
	return nil
}

// id returns the id of an instance: instanceId, or the data centre's instance-id or the host name, as old servers send it.
func (in *instanceJSON) id() string {
	for _, id := range []string{in.InstanceID.value, in.DataCenter.Metadata.InstanceID.value} {
		if id != "" {
			return id
		}
	}
	return in.HostName.value
}

// address returns the IP address and port of an instance, or the invalid field and its problem. Host names are not resolved.
func (in *instanceJSON) address() (address, field, problem string) {
	field, host := "ipAddr", in.IPAddr.value
	if host == "" {
		field, host = "hostName", in.HostName.value
	}
	ip, err := netip.ParseAddr(host)
	if err != nil || ip.Zone() != "" {
		return "", field, fmt.Sprintf("%.60q is not an IP address", host)
	}
	port := in.Port.value
	switch {
	case in.Port.disabled:
		return "", "port", "not enabled"
	case in.Port.invalid || port < 1 || port > math.MaxUint16:
		return "", "port", fmt.Sprintf("%d is not a valid port", port)
	}
	return netip.AddrPortFrom(ip.Unmap(), uint16(port)).String(), "", ""
}

// checkInstance checks the instance at this index of the list and records its faults. It reports whether the instance has a
// usable id.
func (p *parser) checkInstance(index int, in *instanceJSON) (instance Instance, ok bool) {
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
		p.addFault("instance %d: instanceId: empty or too long (%.40q)", index, i.ID)
		return i, false
	}
	faults := instanceFaults{parser: p, index: index, id: i.ID}
	if len(i.VIP) > maxMetadataSize {
		faults.add("vipAddress", "too long: ignored")
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

// instanceFaults records the faults of one instance.
type instanceFaults struct {
	parser *parser
	index  int // the instance's position in the list
	id     string
}

// add records a fault of a field.
func (f instanceFaults) add(field, problem string) {
	f.parser.addFault("instance %d, %.80q: %s: %s", f.index, f.id, field, problem)
}

// descriptionReader reads the description of an endpoint from an instance's metadata. It reports an unreadable value as a fault
// and uses the default.
type descriptionReader struct {
	keys   MetadataKeys
	wire   *instanceJSON
	texts  map[string]lenientText // metadata by key
	faults instanceFaults
}

// text returns the value of a metadata key; "" if there is none.
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
		r.faults.add("metadata."+r.keys.Zone, "too long: ignored")
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
		r.faults.add("metadata."+r.keys.Group, fmt.Sprintf("%.40q is not a group number: 0 is used", text))
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
		r.faults.add("metadata."+r.keys.Weight, fmt.Sprintf("%.40q is not a weight: 1 is used", text))
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
		r.faults.add("metadata."+r.keys.Start, fmt.Sprintf("%.40q is not a time in ms: the start counts as long ago", text))
	}
	start := lenientNumber{value: milliseconds} // for a number out of range, ParseInt returns the nearest bound
	return start.timestamp()
}
