package loopback

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"

	"starlingwinch/internal/machine"
	"starlingwinch/internal/testbench/standin"
)

// ErrInterrupted says that a run was interrupted before it began, or twice: it has shown nothing.
var ErrInterrupted = errors.New("interrupted")

// Bounds of what is kept of a router.
const (
	mostTail    = 40 // last lines of its log
	servingLine = "msg=serving address="
	// Lines by which a router tells that it broke a rule, or the contract between its parts, and what it has counted.
	violationLine = "msg=violation "
	contractLine  = `msg="contract breach" `
	countersLine  = "msg=counters "
	pingAgain     = 10 * millisecond
	pingWithin    = second
)

// stopDealing is how long after SIGTERM the front goes on dealing connections to a router.
const stopDealing = 300 * millisecond

// drainSpare is added to the longest deadline: a router that was told to end has ended by then.
const drainSpare = 700 * millisecond

// state is that of a router's process.
type state uint8

const (
	down state = iota
	coming
	serving
	draining
)

// router is a router's name, with the process that carries it now.
type router struct {
	r          *run
	name, zone string
	port       *port
	config     string // path
	args       []string
	set        standin.RouterSettings

	state  state
	proc   *process
	life   int  // number of the process
	dealt  bool // the front deals connections to it
	killed bool
	again  bool // it is to be started again once it has ended

	previous map[int]*predecessor // processes that are followed already, by their life
	awaited  bool                 // the last of them is taken for killed, until the next one serves
	report   RouterReport
}

func newRouter(r *run, name, zone string) (*router, error) {
	p, err := holdPort()
	if err != nil {
		return nil, fmt.Errorf("a port for %s: %w", name, err)
	}
	rt := &router{r: r, name: name, zone: zone, port: p, config: filepath.Join(r.dir, name+".json"), set: r.routerSet,
		previous: map[int]*predecessor{}}
	rt.report.Name = name
	rt.set.Name, rt.set.Listen = name, p.addr
	rt.set.Seed = fmt.Sprintf("%x", uint64(r.o.Script.Seed)<<8+uint64(len(r.routers)))
	if err := rt.operators(); err != nil {
		p.release()
		return nil, err
	}
	if r.mesh != nil {
		if err := rt.configureFleet(r.mesh, len(r.routers)); err != nil {
			p.release()
			return nil, err
		}
	}
	if err := rt.configure(r.fleet.Lists[name]); err != nil {
		p.release()
		return nil, err
	}
	return rt, nil
}

// configure writes the router's configuration. It is there whole or not at all: a router may be reading it.
func (rt *router) configure(discovery string) error {
	rt.set.Discovery = discovery
	next := rt.config + ".next"
	if err := os.WriteFile(next, rt.set.JSON(), 0o600); err != nil {
		return err
	}
	return os.Rename(next, rt.config)
}

// operators writes the operators' files, where there are any, and has the program take them.
func (rt *router) operators() error {
	if rt.r.registry == nil && rt.r.storm == nil {
		return nil
	}
	rt.args = []string{"run"}
	if rt.r.storm != nil {
		args, err := rt.r.storm.operators(rt.r.dir, rt.name)
		if err != nil {
			return err
		}
		rt.args = append(rt.args, args...)
	}
	if rt.r.registry == nil {
		return nil
	}
	for _, f := range rt.r.registry.files(rt.name, rt.port.addr) {
		path := filepath.Join(rt.r.dir, rt.name+"-"+f.Kind+".toml")
		if err := os.WriteFile(path, []byte(f.Text), 0o600); err != nil {
			return err
		}
		rt.args = append(rt.args, "--operator", path)
	}
	return nil
}

// start starts a process.
func (rt *router) start() {
	r := rt.r
	if rt.state != down || r.phase == ending {
		return
	}
	rt.state = coming
	r.fleet.Discovery.Forget(rt.name)
	r.seen.RouterUp(r.m.Now(), rt.name)
	rt.launch()
}

// launch starts the next life's process.
func (rt *router) launch() {
	r := rt.r
	rt.killed, rt.again = false, false
	rt.life++
	rt.report.Starts++
	life := rt.life
	cmd := exec.Command(r.program, rt.args...)
	cmd.Env = append(os.Environ(), "BALANCER_CONFIG="+rt.config)
	if r.o.Calls != "" {
		cmd.Env = append(cmd.Env, fmt.Sprintf("STARLINGWINCH_FAULTS=seed=%d,%s", r.o.Script.Seed, r.o.Calls))
	}
	line := func(text string) { r.m.Post(func() { rt.line(life, text) }) }
	ended := func(s *os.ProcessState) { r.m.Post(func() { rt.ended(life, s) }) }
	var p *process
	var err error
	r.m.Work(func() { p, err = r.nursery.start(cmd, line, ended) }, func() {
		if err != nil {
			rt.state = down
			r.trouble("%s did not start: %v", rt.name, err)
			r.ended()
			return
		}
		if r.o.started != nil {
			r.o.started(p.pid())
		}
		if rt.life == life && rt.state != down { // else it has ended by now
			rt.proc = p
			rt.catchUp()
		}
	})
}

// catchUp carries out what was asked of the process while it was being started.
func (rt *router) catchUp() {
	switch {
	case rt.killed:
		rt.proc.signal(syscall.SIGKILL)
	case rt.state == draining:
		rt.proc.signal(syscall.SIGTERM)
	}
}

// line takes in a line of the process's log.
func (rt *router) line(life int, text string) {
	if rt.r.o.Log != nil {
		fmt.Fprintf(rt.r.o.Log, "%s: %s\n", rt.name, text)
	}
	rt.report.Lines++
	if len(rt.report.Tail) == mostTail {
		rt.report.Tail = rt.report.Tail[1:]
	}
	rt.report.Tail = append(rt.report.Tail, text)
	if strings.Contains(text, violationLine) || strings.Contains(text, contractLine) {
		rt.r.trouble("%s says that it broke a rule: %s", rt.name, text)
	}
	if _, counters, told := strings.Cut(text, countersLine); told {
		rt.count(counters)
	}
	_, fields, found := strings.Cut(text, servingLine)
	if !found || rt.life != life || rt.state != coming {
		return
	}
	addr, _, _ := strings.Cut(fields, " ")
	if addr != rt.port.addr {
		rt.r.trouble("%s serves on %s and was told %s", rt.name, addr, rt.port.addr)
	}
	rt.ping(life)
}

// count takes in the names of counters.
func (rt *router) count(line string) {
	if rt.report.Counters == nil {
		rt.report.Counters = map[string]bool{}
	}
	for field := range strings.FieldsSeq(line) {
		name, _, _ := strings.Cut(field, "=")
		rt.report.Counters[strings.Trim(name, `"`)] = true
	}
}

// ping asks the router until it answers +PONG: only then it is used.
func (rt *router) ping(life int) {
	if rt.life != life || rt.state != coming {
		return
	}
	r := rt.r
	p := &pinger{done: func(ok bool) {
		switch {
		case !ok:
			r.m.At(r.m.Now()+pingAgain, func() { rt.ping(life) })
		case rt.life == life && rt.state == coming:
			rt.state, rt.dealt = serving, true
			rt.goesOn()
			r.served()
		}
	}}
	r.m.Dial(rt.port.addr, pingWithin, p.dialed)
}

// term tells the process to end in order.
func (rt *router) term(again bool) {
	if rt.state != serving && rt.state != coming {
		return
	}
	r, life := rt.r, rt.life
	rt.state, rt.again = draining, again
	rt.signal(syscall.SIGTERM)
	now := r.m.Now()
	r.m.At(now+stopDealing, func() {
		if rt.life == life {
			rt.dealt = false
		}
	})
	longest := Time(0)
	for _, c := range r.report.Classes {
		longest = max(longest, c.ClientTimeout)
	}
	var overdue func()
	limit := now + longest + drainSpare + slack
	lost := r.seen.clock.lag.Lost
	overdue = func() {
		if rt.life != life || rt.state != draining {
			return
		}
		if more := r.seen.clock.lag.Lost - lost; more > 0 { // this process was late
			lost += more
			r.m.At(r.m.Now()+more, overdue)
			return
		}
		r.trouble("%s had not ended %.1f s after SIGTERM and was killed", rt.name, float64(limit-now)/1e6)
		rt.signal(syscall.SIGKILL)
	}
	r.m.At(limit, overdue)
}

// kill ends the process at once.
func (rt *router) kill(again bool) {
	if rt.state == down {
		return
	}
	rt.killed, rt.again = true, again
	rt.signal(syscall.SIGKILL)
}

func (rt *router) signal(s syscall.Signal) {
	if rt.proc != nil {
		rt.proc.signal(s)
	}
}

// ended is called once the process has ended.
func (rt *router) ended(life int, s *os.ProcessState) {
	if rt.oldEnded(life, s.ExitCode()) {
		return
	}
	if rt.life != life || rt.state == down {
		return
	}
	r, now := rt.r, rt.r.m.Now()
	asked := rt.state == draining
	rt.state, rt.proc = down, nil
	// Whatever a process held that ended by itself is lost by it, crashed or not.
	r.seen.RouterDown(now, rt.name, !rt.killed)
	if !rt.killed && (!asked || s.ExitCode() != 0) {
		r.trouble("%s ended by itself: %v; the end of its log: %s", rt.name, s, strings.Join(rt.report.Tail, " | "))
	}
	r.m.At(now+span(r.o.Script.Clients.Front), func() {
		if rt.life == life {
			rt.dealt = false
		}
	})
	if r.phase == starting {
		r.err = fmt.Errorf("%s did not start: %v\n%s", rt.name, s, r.tails())
		r.m.Stop()
		return
	}
	if rt.again {
		rt.start()
	}
	r.ended()
}

// look looks at the process from outside.
func (rt *router) look(now Time) {
	if rt.proc == nil || rt.state == down {
		return
	}
	u := usageOf(rt.proc.pid())
	for _, old := range rt.previous { // any order: a sum
		before := usageOf(old.proc.pid())
		u.descriptors += before.descriptors
		u.peakRSS += before.peakRSS
	}
	rt.report.PeakRSS = max(rt.report.PeakRSS, u.peakRSS)
	rt.report.Descriptors = max(rt.report.Descriptors, u.descriptors)
	if u.descriptors > 0 {
		rt.r.seen.Usage(now, rt.name, u.descriptors, rt.set.Sockets)
	}
}

// front is the routers that the front of a zone deals connections to: those of the zone, or all where it has none.
func (r *run) front(zone string) []standin.Target {
	var near, all []standin.Target
	for _, rt := range r.routers {
		if !rt.dealt {
			continue
		}
		t := standin.Target{Name: rt.name, Addr: rt.port.addr}
		all = append(all, t)
		if rt.zone == zone {
			near = append(near, t)
		}
	}
	if len(near) > 0 {
		return near
	}
	return all
}

// pinger asks a router PING on a connection of its own.
type pinger struct {
	conn machine.Conn
	got  []byte
	done func(ok bool)
}

func (p *pinger) dialed(conn machine.Conn, err error) machine.Handler {
	if err != nil {
		p.done(false)
		return nil
	}
	p.conn = conn
	_, _ = conn.Write([]byte("*1\r\n$4\r\nPING\r\n")) // an error comes with the next Read
	return p
}

func (p *pinger) Writable() {}

func (p *pinger) Readable() {
	if p.conn == nil {
		return
	}
	var b [64]byte
	n, err := p.conn.Read(b[:])
	p.got = append(p.got, b[:n]...)
	if errors.Is(err, machine.ErrWait) && !strings.Contains(string(p.got), "\n") {
		return
	}
	if err == nil && !strings.Contains(string(p.got), "\n") {
		p.Readable()
		return
	}
	p.conn.Close()
	p.conn = nil
	p.done(strings.HasPrefix(string(p.got), "+PONG\r\n"))
}
