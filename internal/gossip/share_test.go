package gossip

import (
	"fmt"
	"testing"
)

// some are names of routers from one number up to another one.
func some(from, to int) (names []string) {
	for i := from; i < to; i++ {
		names = append(names, fmt.Sprint("n", i))
	}
	return names
}

// steps plays views, each with the divisor that is to come of it.
func steps(t *testing.T, d *Divisor, seen []Membership, want ...int) {
	t.Helper()
	for i, s := range seen {
		if got := d.Divisor(s); got != want[i] {
			t.Errorf("step %d: %+v divides by %d, want %d", i, s, got, want[i])
		}
	}
}

const hold = 10_000_000

func settledView(names []string) Membership {
	return Membership{Alive: names, Settled: true, For: hold}
}

func TestSharesGrowAtOnceForThoseThatLeaveAndShrinkForThoseThatJoin(t *testing.T) {
	steps(t, &Divisor{Hold: hold}, []Membership{
		settledView(some(0, 30)), {Alive: some(1, 30), Left: some(0, 1)}, {Alive: some(2, 30), Left: some(0, 2), Settled: true},
		{Alive: some(2, 33), Left: some(0, 2)},
	}, 30, 29, 28, 31)
}

func TestSharesGrowForTheFaultyOnTheLargerSideAndAfterTheHoldOnly(t *testing.T) {
	steps(t, &Divisor{Hold: hold}, []Membership{
		settledView(some(0, 30)), {Alive: some(0, 20), For: hold}, {Alive: some(0, 20), Settled: true, For: hold - 1},
		settledView(some(0, 20)),
	}, 30, 30, 30, 20)
}

func TestInHalvesNeitherSideTakesTheOthersShare(t *testing.T) {
	for _, all := range []int{30, 31} {
		steps(t, &Divisor{Hold: hold}, []Membership{settledView(some(0, all)), settledView(some(0, 15))}, all, all)
	}
}

// The danger: one router joins each half of a partition, and both are more than half of what there was.
func TestThoseThatJoinMakeNoHalfTheLargerSide(t *testing.T) {
	steps(t, &Divisor{Hold: hold}, []Membership{settledView(some(0, 28)), settledView(some(0, 14)),
		settledView(append(some(0, 14), "n99"))}, 28, 28, 29)
}

func TestSharesNeverGoByFewerThanIsSaid(t *testing.T) {
	steps(t, &Divisor{Hold: hold, Min: 30}, []Membership{{Alive: some(0, 1)}, settledView(some(0, 20)), {Alive: some(0, 40)}}, 30, 30, 40)
}

func TestOneThatLeftLongAgoIsCountedOnce(t *testing.T) {
	steps(t, &Divisor{Hold: hold}, []Membership{settledView(some(0, 10)), {Alive: some(1, 10), Left: some(0, 1)}, {Alive: some(1, 10)},
		{Alive: some(2, 10), Left: some(1, 2)}}, 10, 9, 9, 8)
}
