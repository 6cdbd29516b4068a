package decide_test

import (
	"fmt"

	"starlingwinch/decide"
)

func Example() {
	r, err := decide.New(decide.Settings{
		Routers:     1,
		MaxAttempts: 2,
		DrainGrace:  1_000_000,
		Classes:     []decide.Class{{Name: "get", Semantics: decide.Idempotent, LatencyObjective: 200_000, ClientTimeout: 800_000, PriorityWeight: 1}},
	}, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	r.Handle(0, &decide.EndpointList{Kind: decide.FullUpdate, Endpoints: []decide.Endpoint{{ID: "cache-1", Zone: "east", Weight: 1}}})
	for _, a := range r.Handle(1000, &decide.Request{ID: 7, Class: "get", Key: 99, HasKey: true, Deadline: 801_000}) {
		if s, ok := a.(decide.Send); ok {
			fmt.Println("send request", s.ID, "to", s.Cache)
		}
	}
	// Output: send request 7 to cache-1
}
