//go:build wasip1

// Command clubgo is a hook in Go that tags confirmations from a club's shared station and attributes them to the club's tenant.
//
//	GOOS=wasip1 GOARCH=wasm go build -buildmode=c-shared -o club.wasm ./examples/hooks/clubgo
package main

import (
	"strings"

	"starlingwinch/hook"
)

// stations maps the tenant of each shared station to the tenant of the club that the station belongs to.
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
