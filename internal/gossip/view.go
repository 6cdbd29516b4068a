package gossip

import (
	"log/slog"
	"math"
	"math/rand/v2"
	"slices"
)

// never is a time that does not come.
const never Time = math.MaxInt64 / 2

// View is one router's view. Use New.
type View struct {
	cfg     Config
	rng     *rand.Rand
	now     Time // of the present event
	started bool // the first event has come
	startAt Time // when it came
	gone    bool // this router has ended
	retired bool // another router with its name has started later

	actions     []Action // of the present event
	buffers     [][]byte // of datagrams to be sent; reused at the next event
	usedBuffers int

	self     *member
	members  map[string]*member // this router included
	contacts map[string]*contact

	nextRoundAt Time
	wakeAt      Time   // of the Wake that was returned last
	rounds      int    // rounds that have begun
	sequence    uint64 // of datagrams sent and updates queued

	prober    prober
	awareness int // local health score; 0 is healthy, each point stretches timeouts by their length
	updates   []*queuedUpdate
	agreement agreement

	compareRound int // the round in which digests are compared next
	replies      replyLimiter

	incarnationRaises int  // since raisesSince, because of another process with this name
	raisesSince       Time // when the first of them was
	lastReceivedAt    Time // when a member's datagram was accepted last
	lastPollAllAt     Time // when all contacts were made due last

	counts Counts
}

// New returns a view of a router that knows no member yet. The error names a field that is out of range.
func New(cfg Config) (*View, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	self := &member{
		Member:   Member{Name: cfg.Name, Incarnation: max(1, cfg.Start), Info: cfg.Info, Configured: true},
		boot:     max(1, cfg.Boot),
		revision: 1,
	}
	if len(cfg.Seeds) > 0 {
		self.announcedAddr = cfg.Addr
	}
	v := &View{
		cfg:      cfg,
		rng:      rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Boot))),
		self:     self,
		members:  map[string]*member{cfg.Name: self},
		contacts: map[string]*contact{},
	}
	for _, address := range slices.Concat(cfg.Peers, cfg.Seeds) {
		v.contacts[address] = &contact{addr: address, configured: true}
	}
	v.agreement = agreement{digest: self.digest(), namesStale: true}
	return v, nil
}

// Handle takes one event and returns what is to be done, in order. The slice is valid until the next call.
func (v *View) Handle(now Time, ev Event) []Action {
	v.now, v.actions, v.usedBuffers = now, v.actions[:0], 0
	var received datagram
	if ev, is := ev.(*DatagramReceived); is {
		var ok bool
		// A datagram that is not accepted must cost little, as anybody can send many.
		if received, ok = v.read(ev); !ok {
			return nil
		}
	}
	v.resume()
	switch ev := ev.(type) {
	case *DatagramReceived:
		v.receive(ev, &received)
	case *Tick:
	case *UpdateInfo:
		v.self.Info = ev.Info
		v.self.revision++
		v.broadcast(v.self)
	case *Leave:
		v.leave(ev.Gone)
	case *Peers:
		v.replacePeers(ev.Peers)
	}
	if !v.gone {
		v.runDue()
	}
	v.updateSettled()
	v.requestWake()
	return v.actions
}

// resume starts the view at its first event. Later it detects that this process did not run for a while.
func (v *View) resume() {
	if v.started {
		if late := v.now - v.wakeAt; late > v.cfg.Interval && !v.cfg.Plain {
			v.recoverFromStall(late)
		}
		return
	}
	v.started, v.startAt = true, v.now
	// Routers that are started together must not probe at the same instants.
	v.nextRoundAt = v.now + Time(v.rng.Int64N(v.cfg.Interval))
	v.agreement.settledChangedAt, v.self.Since = v.now, v.now
	v.broadcast(v.self)
}

// runDue does what is due: a round, probes and relays that time out, suspicions that end.
func (v *View) runDue() {
	if v.now >= v.nextRoundAt {
		v.nextRoundAt = max(v.nextRoundAt+v.cfg.Interval, v.now+v.cfg.Interval/2)
		v.beginRound()
	}
	v.expireProbes()
	v.expireRelays()
	v.expireSuspicions()
}

// requestWake asks for the next Tick.
func (v *View) requestWake() {
	if v.gone {
		v.wakeAt = never
		return
	}
	at := min(v.nextRoundAt, v.prober.nextTimeout())
	for _, m := range v.members { // any order: a minimum
		if m.State == Suspect {
			at = min(at, v.suspicionDeadline(m))
		}
	}
	v.wakeAt = max(at, v.now+1)
	v.do(Wake{v.wakeAt})
}

// Retired reports whether another router with this one's name has started later.
func (v *View) Retired() bool { return v.retired }

// Counts returns the view's counters.
func (v *View) Counts() Counts { return v.counts }

func (v *View) do(a Action) { v.actions = append(v.actions, a) }

func (v *View) log(level slog.Level, message string, attrs ...slog.Attr) {
	v.do(Log{Level: level, Message: message, Attrs: attrs})
}
