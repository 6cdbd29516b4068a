package registry

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
)

// The statuses that an instance can have.
const (
	Up           = "UP"
	Down         = "DOWN"
	Starting     = "STARTING"
	OutOfService = "OUT_OF_SERVICE"
	Unknown      = "UNKNOWN" // as an override: none
)

// What a change did to an instance, as deltas have it.
const (
	Added    = "ADDED"
	Modified = "MODIFIED"
	Deleted  = "DELETED" // also the status that a mark gives for an instance that has gone
)

// Instance is one that was registered.
type Instance struct {
	ID             string
	App            string // in upper case
	HostName       string
	IPAddr         string
	Status         string // as it shows, overrides taken in
	Overridden     string // Unknown for no override
	Port           int
	PortOn         bool
	SecurePort     int
	SecurePortOn   bool
	VIPAddress     string
	SecureVIP      string
	HomePageURL    string
	StatusPageURL  string
	HealthCheckURL string
	AppGroup       string
	CountryID      int
	DataCenter     string // MyOwn, Amazon or Netflix
	DataClass      string // its "@class"
	DataMetadata   map[string]string
	Metadata       map[string]string
	RenewEvery     int    // s
	LeaseTime      int    // s without a renewal, after which it is expired
	LastDirty      int64  // ms; when the instance itself changed last
	LastUpdated    int64  // ms; when the registry changed it last
	Action         string // of the last change
}

// Lease is what the registry knows of an instance's renewals. Times are Unix ms.
type Lease struct {
	Registered, LastRenewal, Evicted, ServiceUp int64
}

// wireInstance is an instance in JSON.
type wireInstance struct {
	InstanceID     string       `json:"instanceId"`
	HostName       string       `json:"hostName"`
	App            string       `json:"app"`
	AppGroup       string       `json:"appGroupName,omitempty"`
	IPAddr         string       `json:"ipAddr"`
	Status         string       `json:"status"`
	Overridden     string       `json:"overriddenStatus,omitempty"`
	OldOverridden  string       `json:"overriddenstatus,omitempty"`
	Port           *wirePort    `json:"port,omitempty"`
	SecurePort     *wirePort    `json:"securePort,omitempty"`
	CountryID      number       `json:"countryId"`
	DataCenter     *wireCenter  `json:"dataCenterInfo,omitempty"`
	Lease          *wireLease   `json:"leaseInfo,omitempty"`
	Metadata       stringMap    `json:"metadata"`
	HomePageURL    string       `json:"homePageUrl,omitempty"`
	StatusPageURL  string       `json:"statusPageUrl,omitempty"`
	HealthCheckURL string       `json:"healthCheckUrl,omitempty"`
	VIPAddress     string       `json:"vipAddress,omitempty"`
	SecureVIP      string       `json:"secureVipAddress,omitempty"`
	Coordinating   quotedBool   `json:"isCoordinatingDiscoveryServer"`
	LastUpdated    quotedNumber `json:"lastUpdatedTimestamp"`
	LastDirty      quotedNumber `json:"lastDirtyTimestamp"`
	Action         string       `json:"actionType,omitempty"`
}

type wirePort struct {
	Number number     `json:"$"`
	On     quotedBool `json:"@enabled"`
}

type wireCenter struct {
	Class    string    `json:"@class"`
	Name     string    `json:"name"`
	Metadata stringMap `json:"metadata,omitempty"`
}

type wireLease struct {
	RenewEvery  number `json:"renewalIntervalInSecs"`
	LeaseTime   number `json:"durationInSecs"`
	Registered  number `json:"registrationTimestamp"`
	LastRenewal number `json:"lastRenewalTimestamp"`
	Evicted     number `json:"evictionTimestamp"`
	ServiceUp   number `json:"serviceUpTimestamp"`
}

// number is a whole number, which clients also send as a string.
type number int64

// UnmarshalJSON reads a number or a string of digits.
func (n *number) UnmarshalJSON(b []byte) error {
	text := string(b)
	if text == "null" {
		return nil
	}
	if len(b) > 0 && b[0] == '"' {
		if err := json.Unmarshal(b, &text); err != nil {
			return err
		}
	}
	v, err := strconv.ParseInt(strings.TrimSpace(text), 10, 64)
	if err != nil {
		return fmt.Errorf("%.40q is no whole number", text)
	}
	*n = number(v)
	return nil
}

// quotedNumber is a number that is written as a string.
type quotedNumber int64

// UnmarshalJSON reads what a number is read from.
func (n *quotedNumber) UnmarshalJSON(b []byte) error { return (*number)(n).UnmarshalJSON(b) }

// MarshalJSON writes the number as a string.
func (n quotedNumber) MarshalJSON() ([]byte, error) {
	return strconv.AppendQuote(nil, strconv.FormatInt(int64(n), 10)), nil
}

// quotedBool is a boolean, which is written as a string and read as either.
type quotedBool bool

// UnmarshalJSON reads a boolean or a string that names one.
func (t *quotedBool) UnmarshalJSON(b []byte) error {
	switch strings.ToLower(strings.Trim(string(b), `"`)) {
	case "true":
		*t = true
	case "false", "null", "":
		*t = false
	default:
		return fmt.Errorf("%.40q is neither true nor false", b)
	}
	return nil
}

// MarshalJSON writes the boolean as a string.
func (t quotedBool) MarshalJSON() ([]byte, error) {
	return strconv.AppendQuote(nil, strconv.FormatBool(bool(t))), nil
}

// stringMap are names with values. Numbers and booleans become their text; what is nested is refused.
type stringMap map[string]string

const (
	classKey       = "@class"
	emptyStringMap = `{"@class":"java.util.Collections$EmptyMap"}`
)

// UnmarshalJSON reads an object of plain values, and rejects nested ones.
func (w *stringMap) UnmarshalJSON(b []byte) error {
	var raw map[string]json.RawMessage
	if err := json.Unmarshal(b, &raw); err != nil {
		return err
	}
	*w = stringMap{}
	for _, name := range slices.Sorted(maps.Keys(raw)) { // an error names the first
		value := raw[name]
		text := string(value)
		switch {
		case name == classKey || text == "null":
			continue
		case value[0] == '{' || value[0] == '[':
			return fmt.Errorf("%.40q holds more than one value", name)
		case value[0] == '"':
			if err := json.Unmarshal(value, &text); err != nil {
				return err
			}
		}
		(*w)[name] = text
	}
	return nil
}

// MarshalJSON writes an empty map as the Java server does.
func (w stringMap) MarshalJSON() ([]byte, error) {
	if len(w) == 0 {
		return []byte(emptyStringMap), nil
	}
	return json.Marshal(map[string]string(w))
}

// Defaults of what a registration leaves out, as the Java client has them.
const (
	defaultRenewEvery      = 30
	defaultLeaseTime       = 90
	defaultPort            = 7001
	defaultSecurePort      = 7002
	defaultDataCenterClass = "com.netflix.appinfo.InstanceInfo$DefaultDataCenterInfo"
)

// readInstance reads the body of a registration.
func readInstance(body []byte) (Instance, error) {
	var root struct {
		Instance json.RawMessage `json:"instance"`
	}
	if err := json.Unmarshal(body, &root); err != nil {
		return Instance{}, err
	}
	raw := root.Instance
	if len(raw) > 0 && raw[0] == '[' {
		var list []json.RawMessage
		if err := json.Unmarshal(raw, &list); err != nil {
			return Instance{}, err
		}
		if len(list) != 1 {
			return Instance{}, fmt.Errorf("instance: the list holds %d (wanted 1)", len(list))
		}
		raw = list[0]
	}
	if len(raw) == 0 || raw[0] != '{' {
		return Instance{}, errors.New("instance: missing")
	}
	var w wireInstance
	if err := json.Unmarshal(raw, &w); err != nil {
		return Instance{}, fmt.Errorf("instance: %w", err)
	}
	return w.instance()
}

// instance is what a registration says, with what it leaves out filled in.
func (w *wireInstance) instance() (Instance, error) {
	in := Instance{
		ID: w.InstanceID, App: strings.ToUpper(w.App), HostName: w.HostName, IPAddr: w.IPAddr,
		Status: strings.ToUpper(w.Status), Overridden: strings.ToUpper(w.Overridden),
		Port: defaultPort, PortOn: true, SecurePort: defaultSecurePort,
		VIPAddress: w.VIPAddress, SecureVIP: w.SecureVIP,
		HomePageURL: w.HomePageURL, StatusPageURL: w.StatusPageURL, HealthCheckURL: w.HealthCheckURL,
		AppGroup: w.AppGroup, CountryID: int(w.CountryID), Metadata: w.Metadata, LastDirty: int64(w.LastDirty),
	}
	if in.Overridden == "" {
		in.Overridden = strings.ToUpper(w.OldOverridden)
	}
	if w.Port != nil {
		in.Port, in.PortOn = int(w.Port.Number), bool(w.Port.On)
	}
	if w.SecurePort != nil {
		in.SecurePort, in.SecurePortOn = int(w.SecurePort.Number), bool(w.SecurePort.On)
	}
	if w.DataCenter != nil {
		in.DataCenter, in.DataClass, in.DataMetadata = w.DataCenter.Name, w.DataCenter.Class, w.DataCenter.Metadata
	}
	if w.Lease != nil {
		in.RenewEvery, in.LeaseTime = int(w.Lease.RenewEvery), int(w.Lease.LeaseTime)
	}
	in.fill()
	return in, in.check()
}

func (in *Instance) fill() {
	if in.Status == "" {
		in.Status = Up
	}
	if in.Overridden == "" {
		in.Overridden = Unknown
	}
	if in.DataClass == "" {
		in.DataClass = defaultDataCenterClass
	}
	if in.ID == "" {
		in.ID = in.HostName // as old clients have it
	}
	if in.RenewEvery <= 0 {
		in.RenewEvery = defaultRenewEvery
	}
	if in.LeaseTime <= 0 {
		in.LeaseTime = defaultLeaseTime
	}
}

// maxLeaseSeconds bounds a lease's time, in s.
const maxLeaseSeconds = 30 * 24 * 3600

func (in *Instance) check() error {
	for _, f := range []struct{ name, value string }{
		{"instanceId", in.ID}, {"hostName", in.HostName}, {"ipAddr", in.IPAddr}, {"app", in.App},
		{"dataCenterInfo.name", in.DataCenter},
	} {
		if f.value == "" {
			return fmt.Errorf("instance.%s: missing", f.name)
		}
	}
	for _, f := range []struct {
		name  string
		value int
		most  int
	}{
		{"port", in.Port, 65535}, {"securePort", in.SecurePort, 65535},
		{"leaseInfo.renewalIntervalInSecs", in.RenewEvery, maxLeaseSeconds},
		{"leaseInfo.durationInSecs", in.LeaseTime, maxLeaseSeconds},
	} {
		if f.value < 0 || f.value > f.most {
			return fmt.Errorf("instance.%s: %d is out of range (wanted 0 to %d)", f.name, f.value, f.most)
		}
	}
	for _, f := range []struct{ name, value string }{{"status", in.Status}, {"overriddenStatus", in.Overridden}} {
		if !isStatus(f.value) {
			return fmt.Errorf("instance.%s: %.40q is no status", f.name, f.value)
		}
	}
	return nil
}

func isStatus(s string) bool {
	switch s {
	case Up, Down, Starting, OutOfService, Unknown:
		return true
	}
	return false
}

// wire is an instance as answers have it.
func (in *Instance) wire(l Lease, oldNames bool) wireInstance {
	w := wireInstance{
		InstanceID: in.ID, HostName: in.HostName, App: in.App, AppGroup: in.AppGroup, IPAddr: in.IPAddr,
		Status: in.Status, Overridden: in.Overridden,
		Port:       &wirePort{number(in.Port), quotedBool(in.PortOn)},
		SecurePort: &wirePort{number(in.SecurePort), quotedBool(in.SecurePortOn)},
		CountryID:  number(in.CountryID),
		DataCenter: &wireCenter{in.DataClass, in.DataCenter, in.DataMetadata},
		Lease: &wireLease{number(in.RenewEvery), number(in.LeaseTime), number(l.Registered), number(l.LastRenewal),
			number(l.Evicted), number(l.ServiceUp)},
		Metadata: in.Metadata, HomePageURL: in.HomePageURL, StatusPageURL: in.StatusPageURL,
		HealthCheckURL: in.HealthCheckURL, VIPAddress: in.VIPAddress, SecureVIP: in.SecureVIP,
		LastUpdated: quotedNumber(in.LastUpdated), LastDirty: quotedNumber(in.LastDirty), Action: in.Action,
	}
	if oldNames {
		w.Overridden, w.OldOverridden = "", w.Overridden
	}
	return w
}
