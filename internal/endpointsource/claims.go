package endpointsource

import (
	"starlingwinch/decide"
	"starlingwinch/internal/discovery"
	"starlingwinch/internal/endpoints"
)

// statusReasons are the platform's names of an endpoint's status, which serve as the reason of its claims.
var statusReasons = map[decide.Status]string{
	decide.Serving:  "in_service",
	decide.Draining: "terminating",
	decide.Removed:  "terminated",
}

// listUpdate converts a list in the platform's format to an update of a source.
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
