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
		Classes:     []decide.Class{{Name: "get", Effect: decide.Safe, Aim: 200_000, Limit: 800_000, Worth: 1}},
	}, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	r.Handle(0, &decide.List{Kind: decide.ListFull, Entries: []decide.Entry{{ID: "cache-1", Zone: "east", Size: 1}}})
	for _, a := range r.Handle(1000, &decide.Request{ID: 7, Class: "get", Key: 99, HasKey: true, Deadline: 801_000}) {
		if s, ok := a.(decide.Send); ok {
			fmt.Println("send request", s.ID, "to", s.Cache)
		}
	}
	// Output: send request 7 to cache-1
}
