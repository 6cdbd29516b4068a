package retry

// The bounds of one call, from the operators' pages: what a watch misses that has fallen silent counts as told toldAfterSilence
// after that or, where its call may wait for longer, toldAfterWait after the wait is over. From then on, drains have only
// their grace.
const (
	toldAfterSilence = 6_000_000
	toldAfterWait    = 2_000_000

	// MaxWatchWait is how long a call may wait without any change counting as told later for it.
	MaxWatchWait = toldAfterSilence - toldAfterWait

	shortestPart = 4 // a watch waits at least this part of the longest wait

	minSpan = 50_000 // "each time limit is 50 ms longer" on sockets: an agent may take so long

	// CallPause is between calls of a watch that is answered at once. The protocol has a watch end after 200 ms without a call.
	CallPause = 100_000
)

// CallOptions say how a service is to be called.
type CallOptions struct {
	WatchTime  Time // a call may wait so long for something new, at most
	AnswerTime Time // for the service to answer
	// Pushed: lists are pushed to an agent on the router's own machine, which is asked at no cost. What it has counts as told,
	// and has to be acted on within Grace.
	Pushed bool
	Grace  Time
}

// Spans are those of one watch.
type Spans struct {
	WatchWait     Time // a call may wait so long for something new
	SilentAfter   Time // a call that waits and has no answer by then has fallen silent
	AnswerTimeout Time // a call that does not wait has failed by then
	RetryDelay    Time // from a failure to the next call; 0 where a Pacer says that
}

// Spans draws the spans of a watch. Half of the time between the end of a wait and the moment from which what was missed
// counts as told is for the answer, the other half for asking anew.
//
// Each watch draws another wait. Without that, watches that fall silent together are noticed together by all routers, whose
// calls then come at once to a service that takes few.
func (o CallOptions) Spans(chance uint64) Spans {
	if o.Pushed {
		return o.pushed()
	}
	shortest := o.WatchTime / shortestPart
	wait := shortest + Time(chance%uint64(o.WatchTime-shortest+1))
	return Spans{WatchWait: wait, SilentAfter: wait + min(o.AnswerTime, toldAfterWait/2), AnswerTimeout: o.AnswerTime}
}

// pushed are the spans towards an agent. It is silent while discovery is down, also to a call that is out, and what it gets at
// the return counts as told at once. So a call that waits (a quarter of the grace), the time for its answer and the pause
// before the next one (an eighth each) leave half of the grace.
func (o CallOptions) pushed() Spans {
	wait := min(max(o.Grace/4, CallPause), o.WatchTime)
	answer := min(max(o.Grace/8, minSpan), o.AnswerTime)
	return Spans{WatchWait: wait, SilentAfter: wait + answer, AnswerTimeout: answer, RetryDelay: max(o.Grace/8, minSpan)}
}
