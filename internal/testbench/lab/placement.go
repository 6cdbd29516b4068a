package lab

import (
	"starlingwinch/decide"
	clientside "starlingwinch/internal/frontend"
)

// Placement returns the function that maps a key to the cache that routers send it to, so that stand-ins hold what a running
// fleet holds.
func Placement(caches []string) func(key string) string {
	var entries []decide.Endpoint
	for _, name := range caches {
		entries = append(entries, decide.Endpoint{ID: name, Weight: 1})
	}
	home := decide.NewPlacement(entries)
	return func(key string) string { return home(clientside.KeyHash([]byte(key))) }
}
