package eureka

import (
	"encoding/json"
	"strconv"
)

// dataCenterClass is the data centre class that registries expect for an instance outside Amazon's data centres.
const dataCenterClass = "com.netflix.appinfo.InstanceInfo$DefaultDataCenterInfo"

// instanceBody returns the body of the call that registers the router.
func (r *Registration) instanceBody() []byte {
	type object = map[string]any
	ip := r.options.Address.Addr().String()
	timestamp := strconv.FormatInt(r.dirtyTimestamp, 10)
	instance := object{
		"instanceId":       r.options.Instance,
		"app":              r.options.Application,
		"hostName":         ip,
		"ipAddr":           ip,
		"vipAddress":       r.options.VIP,
		"status":           statusUp,
		"overriddenstatus": statusUnknown,
		"port":             object{"$": r.options.Address.Port(), "@enabled": "true"},
		"securePort":       object{"$": 443, "@enabled": "false"},
		"countryId":        1,
		"dataCenterInfo":   object{"@class": dataCenterClass, "name": "MyOwn"},
		"leaseInfo": object{
			"renewalIntervalInSecs": r.options.Renewal / second,
			"durationInSecs":        r.options.Duration / second,
		},
		"metadata":             object{},
		"lastDirtyTimestamp":   timestamp,
		"lastUpdatedTimestamp": timestamp,
	}
	body, _ := json.Marshal(object{"instance": instance}) // all values can be encoded
	return body
}
