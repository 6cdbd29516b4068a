package lab

import (
	"starlingwinch/decide"
	clientside "starlingwinch/internal/frontend"
)

// Placement returns the function that maps a key to the cache to which routers send the key, so that stand-ins hold the same
// keys as a running fleet.
func Placement(caches []string) func(key string) string {
	var entries []decide.Endpoint
	for _, name := range caches {
		entries = append(entries, decide.Endpoint{ID: name, Weight: 1})
	}
	home := decide.NewPlacement(entries)
	return func(key string) string { return home(clientside.KeyHash([]byte(key))) }
}
