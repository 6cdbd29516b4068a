//go:build wasip1

// A hook in Go: confirmations that come from a club's shared station are tagged, and count as the club's.
//
//	GOOS=wasip1 GOARCH=wasm go build -buildmode=c-shared -o club.wasm ./examples/hooks/clubgo
package main

import (
	"strings"

	"starlingwinch/hook"
)

// stations are the tenants that log from a club's shared station, with the club that each belongs to.
var stations = map[string]string{"shack-1": "club-rajkot", "shack-2": "club-rajkot", "fieldday": "club-surat"}

func init() {
	hook.OnRequest(func(r *hook.Request) hook.Verdict {
		if club := stations[r.Tenant]; club != "" && strings.HasPrefix(r.Class, "confirm-") {
			hook.Tag("club")
			hook.Tenant(club)
		}
		return hook.Pass
	})
}

func main() {}
