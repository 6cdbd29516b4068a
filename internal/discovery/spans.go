package discovery

import "starlingwinch/internal/limits"

// How long a call for the list may take. The operators' pages bound it: what a watch misses that has fallen silent counts as
// told toldAfterSilence after that or, where its call may wait for longer, toldAfterWait after the wait is over. From then
// on, drains have only their grace.

const (
	toldAfterSilence = 6_000_000
	toldAfterWait    = 2_000_000

	// LongestWait is how long a call may wait without any change counting as told later for it.
	LongestWait = toldAfterSilence - toldAfterWait

	shortest = 4 // part of the longest wait that a watch has at least

	leastSpan = 50_000 // "each time limit is 50 ms longer" on sockets: an agent may take so long
)

// Options say how discovery is to be asked.
type Options struct {
	limits.Discovery
	// Pushed: lists are pushed to an agent on the router's own machine, which is asked at no cost. What it has counts as told,
	// and has to be acted on within Grace.
	Pushed bool
	Grace  Time
}

// spans are those of one watch, in microseconds.
type spans struct {
	wait   Time // a call may wait so long for something new
	silent Time // a call that waits and has no answer by then has fallen silent
	answer Time // a call that does not wait has failed by then
	again  Time // from a failure to the next call; 0 where that is the owner's to say
}

// spansOf draws the spans of a watch. Half of the time between the end of a wait and the moment from which what was missed
// counts as told is for the answer, the other half for asking anew.
//
// The danger: all watches fall silent together, all routers notice it together, and discovery, which serves few calls, turns
// most of them away. So each watch waits for another time.
func spansOf(o Options, chance uint64) spans {
	if o.Pushed {
		return o.pushed()
	}
	most := o.WatchTime.Microseconds()
	wait := most/shortest + Time(chance%uint64(most-most/shortest+1))
	answer := o.AnswerTime.Microseconds()
	return spans{wait: wait, silent: wait + min(answer, toldAfterWait/2), answer: answer}
}

// pushed are the spans towards an agent. The danger: it is silent while discovery is down, also to a call that is out, and what it
// gets at the return counts as told at once. So a call that waits (a quarter of the grace), the time for its answer and the
// pause before the next one (an eighth each) leave half of the grace.
func (o Options) pushed() spans {
	wait := min(max(o.Grace/4, callPause), o.WatchTime.Microseconds())
	answer := min(max(o.Grace/8, leastSpan), o.AnswerTime.Microseconds())
	return spans{wait: wait, silent: wait + answer, answer: answer, again: max(o.Grace/8, leastSpan)}
}
