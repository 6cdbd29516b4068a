package gossip

import (
	"log/slog"
	"math"
	"math/rand/v2"
	"slices"
)

// never is a time that is never reached.
const never Time = math.MaxInt64 / 2

// View is one router's view of all routers. New creates a View.
type View struct {
	cfg     Config
	rng     *rand.Rand
	now     Time // time of the current event
	started bool // the first event has been handled
	startAt Time // time of the first event
	ended   bool // this router has ended
	retired bool // another router with this router's name has started later

	actions     []Action // actions for the current event
	buffers     [][]byte // buffers of datagrams to send; reused at the next event
	usedBuffers int

	self     *member
	members  map[string]*member // by name, this router included
	contacts map[string]*contact

	nextRoundAt Time
	wakeAt      Time   // time of the latest Wake
	rounds      int    // number of rounds begun
	sequence    uint64 // latest sequence number of datagrams sent and updates queued

	prober    prober
	awareness int // local health score; 0 is healthy, and each point extends a timeout by its base length
	updates   []*queuedUpdate
	agreement agreement

	compareRound int // the round in which digests are compared next
	replies      replyLimiter

	incarnationRaises int  // raises since raisesSince because of another process with this router's name
	raisesSince       Time // start of the window that incarnationRaises counts in
	lastReceivedAt    Time // when a member's datagram was last accepted
	lastPollAllAt     Time // when polls of all contacts were last made due

	counts Counts
}

// New returns the view of a router that knows no other member yet. The error names a field of cfg that is out of range.
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

// Handle handles one event and returns the resulting actions in order. The slice is valid until the next call.
func (v *View) Handle(now Time, ev Event) []Action {
	v.now, v.actions, v.usedBuffers = now, v.actions[:0], 0
	var received datagram
	if ev, is := ev.(*DatagramReceived); is {
		var ok bool
		// Rejecting a datagram must be cheap, because any host can send many.
		if received, ok = v.read(ev); !ok {
			return nil
		}
	}
	v.startOrDetectStall()
	switch ev := ev.(type) {
	case *DatagramReceived:
		v.receive(ev, &received)
	case *Tick:
	case *UpdateInfo:
		v.self.Info = ev.Info
		v.self.revision++
		v.broadcast(v.self)
	case *Leave:
		v.leave(ev.Ended)
	case *Peers:
		v.replacePeers(ev.Peers)
	}
	if !v.ended {
		v.runDue()
	}
	v.updateSettled()
	v.requestWake()
	return v.actions
}

// startOrDetectStall starts the view at its first event. At later events it detects a stall: the event comes more than an
// interval after the requested wake time.
func (v *View) startOrDetectStall() {
	if v.started {
		if late := v.now - v.wakeAt; late > v.cfg.Interval && !v.cfg.PlainSWIM {
			v.recoverFromStall(late)
		}
		return
	}
	v.started, v.startAt = true, v.now
	// The random offset keeps routers that start together from probing at the same instants.
	v.nextRoundAt = v.now + Time(v.rng.Int64N(v.cfg.Interval))
	v.agreement.settledChangedAt, v.self.Since = v.now, v.now
	v.broadcast(v.self)
}

// runDue begins a round if one is due and handles timeouts of probes, relays and suspicions.
func (v *View) runDue() {
	if v.now >= v.nextRoundAt {
		v.nextRoundAt = max(v.nextRoundAt+v.cfg.Interval, v.now+v.cfg.Interval/2)
		v.beginRound()
	}
	v.expireProbes()
	v.expireRelays()
	v.expireSuspicions()
}

// requestWake requests the next Tick.
func (v *View) requestWake() {
	if v.ended {
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
	v.addAction(Wake{v.wakeAt})
}

// Retired reports whether another router with this router's name has started later.
func (v *View) Retired() bool { return v.retired }

// Counts returns the view's counters.
func (v *View) Counts() Counts { return v.counts }

func (v *View) addAction(a Action) { v.actions = append(v.actions, a) }

func (v *View) log(level slog.Level, message string, attrs ...slog.Attr) {
	v.addAction(Log{Level: level, Message: message, Attrs: attrs})
}
