package gossip

import (
	"fmt"
	"testing"
)

// routerNames returns the names of the routers with the numbers from up to, but not including, to.
func routerNames(from, to int) (names []string) {
	for i := from; i < to; i++ {
		names = append(names, fmt.Sprint("n", i))
	}
	return names
}

// checkSteps passes the memberships to d in order and compares each divisor with the wanted one.
func checkSteps(t *testing.T, d *Divisor, memberships []Membership, want ...int) {
	t.Helper()
	for i, s := range memberships {
		if got := d.Divisor(s); got != want[i] {
			t.Errorf("step %d: membership %+v: got divisor %d, want %d", i, s, got, want[i])
		}
	}
}

const hold = 10_000_000

func settledView(names []string) Membership {
	return Membership{Alive: names, Settled: true, SettledFor: hold}
}

// TestDivisorFollowsJoinsAndLeavesAtOnce checks that joins and leaves change the divisor without waiting for the hold.
func TestDivisorFollowsJoinsAndLeavesAtOnce(t *testing.T) {
	checkSteps(t, &Divisor{Hold: hold}, []Membership{
		settledView(routerNames(0, 30)),
		{Alive: routerNames(1, 30), Left: routerNames(0, 1)},
		{Alive: routerNames(2, 30), Left: routerNames(0, 2), Settled: true},
		{Alive: routerNames(2, 33), Left: routerNames(0, 2)},
	}, 30, 29, 28, 31)
}

// TestDivisorDropsFaultyMembersAfterHold checks that the divisor on the larger side of a partition excludes the smaller side after
// the larger side's view has been settled for the hold.
func TestDivisorDropsFaultyMembersAfterHold(t *testing.T) {
	checkSteps(t, &Divisor{Hold: hold}, []Membership{
		settledView(routerNames(0, 30)), {Alive: routerNames(0, 20), SettledFor: hold}, {Alive: routerNames(0, 20), Settled: true, SettledFor: hold - 1},
		settledView(routerNames(0, 20)),
	}, 30, 30, 30, 20)
}

// TestDivisorCountsBothHalvesOfPartition checks that a half of the members, or less, does not exclude the others.
func TestDivisorCountsBothHalvesOfPartition(t *testing.T) {
	for _, all := range []int{30, 31} {
		checkSteps(t, &Divisor{Hold: hold}, []Membership{settledView(routerNames(0, all)), settledView(routerNames(0, 15))}, all, all)
	}
}

// TestDivisorIgnoresJoinsForMajority checks that a member that joins one half of a partition does not make the half a majority.
func TestDivisorIgnoresJoinsForMajority(t *testing.T) {
	checkSteps(t, &Divisor{Hold: hold}, []Membership{settledView(routerNames(0, 28)), settledView(routerNames(0, 14)),
		settledView(append(routerNames(0, 14), "n99"))}, 28, 28, 29)
}

// TestDivisorIsAtLeastMin checks that the divisor never falls below Min.
func TestDivisorIsAtLeastMin(t *testing.T) {
	checkSteps(t, &Divisor{Hold: hold, Min: 30}, []Membership{
		{Alive: routerNames(0, 1)}, settledView(routerNames(0, 20)), {Alive: routerNames(0, 40)},
	}, 30, 30, 40)
}

// TestDivisorCountsLeftMemberOnce checks that a member that left reduces the divisor once, whether or not later views still list
// the member as left.
func TestDivisorCountsLeftMemberOnce(t *testing.T) {
	checkSteps(t, &Divisor{Hold: hold}, []Membership{
		settledView(routerNames(0, 10)),
		{Alive: routerNames(1, 10), Left: routerNames(0, 1)},
		{Alive: routerNames(1, 10)},
		{Alive: routerNames(2, 10), Left: routerNames(1, 2)}}, 10, 9, 9, 8)
}
