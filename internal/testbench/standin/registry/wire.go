package registry

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
)

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

// wirePort is a port in JSON.
type wirePort struct {
	Number number     `json:"$"`
	On     quotedBool `json:"@enabled"`
}

// wireCenter is a data center in JSON.
type wireCenter struct {
	Class    string    `json:"@class"`
	Name     string    `json:"name"`
	Metadata stringMap `json:"metadata,omitempty"`
}

// wireLease is a lease in JSON.
type wireLease struct {
	RenewEvery  number `json:"renewalIntervalInSecs"`
	LeaseTime   number `json:"durationInSecs"`
	Registered  number `json:"registrationTimestamp"`
	LastRenewal number `json:"lastRenewalTimestamp"`
	Evicted     number `json:"evictionTimestamp"`
	ServiceUp   number `json:"serviceUpTimestamp"`
}

// number is an integer, which clients also send as a string.
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

// stringMap is an object of plain values. Numbers and booleans become their text; nested values are rejected.
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
	for _, name := range slices.Sorted(maps.Keys(raw)) { // sorted, so that an error names the first
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
