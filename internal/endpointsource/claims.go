package endpointsource

import (
	"starlingwinch/decide"
	"starlingwinch/internal/discovery"
	"starlingwinch/internal/endpoints"
)

// statusReasons are the platform's words for an endpoint's status, by which claims of its lists are explained.
var statusReasons = map[decide.Status]string{
	decide.Serving:  "in_service",
	decide.Draining: "terminating",
	decide.Removed:  "terminated",
}

// listUpdate returns a list in the platform's form as an update of a source.
func listUpdate(source string, list *discovery.List) *endpoints.SourceUpdate {
	return &endpoints.SourceUpdate{Source: source, Full: list.Full, Claims: claims(list), Unreadable: list.Unreadable}
}

// claims returns the entries of a list as claims, in their order.
func claims(list *discovery.List) []endpoints.Claim {
	all := make([]endpoints.Claim, len(list.Endpoints))
	for i, endpoint := range list.Endpoints {
		all[i] = endpoints.Claim{
			Endpoint: endpoint,
			Address:  list.Addresses[i],
			Reason:   statusReasons[endpoint.Status],
		}
	}
	return all
}
