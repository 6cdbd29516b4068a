package registry

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
)

// Statuses of an instance.
const (
	Up           = "UP"
	Down         = "DOWN"
	Starting     = "STARTING"
	OutOfService = "OUT_OF_SERVICE"
	Unknown      = "UNKNOWN" // as an override, it means none
)

// Actions of a change, as deltas name them.
const (
	Added    = "ADDED"
	Modified = "MODIFIED"
	Deleted  = "DELETED" // also the status of a mark for a removed instance
)

// Instance is a registered instance.
type Instance struct {
	ID             string
	App            string // in upper case
	HostName       string
	IPAddr         string
	Status         string // the visible one, with overrides applied
	Overridden     string // Unknown for no override
	Port           int
	PortOn         bool
	SecurePort     int
	SecurePortOn   bool
	VIPAddress     string // virtual addresses, separated by commas
	SecureVIP      string // virtual addresses, separated by commas
	HomePageURL    string
	StatusPageURL  string
	HealthCheckURL string
	AppGroup       string
	CountryID      int
	DataCenter     string // MyOwn, Amazon or Netflix
	DataClass      string // its "@class"
	DataMetadata   map[string]string
	Metadata       map[string]string
	RenewEvery     int    // seconds between renewals
	LeaseTime      int    // seconds without a renewal after which the lease expires
	LastDirty      int64  // Unix ms; when the instance itself changed last
	LastUpdated    int64  // Unix ms; when the registry changed it last
	Action         string // of the last change: Added, Modified or Deleted
}

// Lease is the lease of an instance, as callers see it. Times are Unix ms; 0 is never.
type Lease struct {
	Registered  int64
	LastRenewal int64
	Evicted     int64 // when it was removed
	ServiceUp   int64 // when the instance first was Up
}

// Defaults of a registration, as the Java client has them. Times are seconds.
const (
	defaultRenewEvery      = 30
	defaultLeaseTime       = 90
	defaultPort            = 7001
	defaultSecurePort      = 7002
	defaultDataCenterClass = "com.netflix.appinfo.InstanceInfo$DefaultDataCenterInfo"
)

// errMissingInstance means that the body of a registration has no instance.
var errMissingInstance = errors.New("instance: missing")

// readInstance reads the body of a registration: an instance, or a list of one.
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
		return Instance{}, errMissingInstance
	}
	var w wireInstance
	if err := json.Unmarshal(raw, &w); err != nil {
		return Instance{}, fmt.Errorf("instance: %w", err)
	}
	return w.instance()
}

// instance returns the instance of a registration, with defaults for what it leaves out.
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

// fill sets the defaults.
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
		in.ID = in.HostName // old clients send no id
	}
	if in.RenewEvery <= 0 {
		in.RenewEvery = defaultRenewEvery
	}
	if in.LeaseTime <= 0 {
		in.LeaseTime = defaultLeaseTime
	}
}

// maxLeaseSeconds bounds the times of a lease: 30 days.
const maxLeaseSeconds = 30 * 24 * 3600

// check returns an error for a field that is missing or out of range.
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
		limit int
	}{
		{"port", in.Port, 65535}, {"securePort", in.SecurePort, 65535},
		{"leaseInfo.renewalIntervalInSecs", in.RenewEvery, maxLeaseSeconds},
		{"leaseInfo.durationInSecs", in.LeaseTime, maxLeaseSeconds},
	} {
		if f.value < 0 || f.value > f.limit {
			return fmt.Errorf("instance.%s: %d is out of range (wanted 0 to %d)", f.name, f.value, f.limit)
		}
	}
	for _, f := range []struct{ name, value string }{{"status", in.Status}, {"overriddenStatus", in.Overridden}} {
		if !isStatus(f.value) {
			return fmt.Errorf("instance.%s: %.40q is no status", f.name, f.value)
		}
	}
	return nil
}

// isStatus reports whether s is a status of an instance.
func isStatus(s string) bool {
	switch s {
	case Up, Down, Starting, OutOfService, Unknown:
		return true
	}
	return false
}

// wire returns an instance as answers have it. oldNames uses the field name of old servers for overrides.
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
