package main

import (
	"time"
)

func init() { cases["10"] = halfCommands }

// Figures of case 10.
const (
	halfClients     = 400
	halfDescriptors = 256
	halfTime        = 15 * time.Second
)

// halfCommands has bad clients stop in the middle of a command and stay until the router ends them. The usual clients must get
// their final answers, or have their new connections shut, in time.
func halfCommands(l *lab, trouble bool) (verdict, error) {
	var v verdict
	classes := rajkotClasses()
	f, err := l.startFleet(9, rajkotSettings(classes), map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": halfDescriptors})
	if err != nil {
		return v, err
	}
	f.work(20 * time.Millisecond)
	stop := time.Now().Add(halfTime)
	lookup := classes[0]
	lookup.HardLimit /= 2 // a try is given up after half of the class's time
	load := &steadyLoad{lab: l, addr: f.router.addr, class: lookup, pause: 200 * time.Millisecond, until: stop}
	load.start(20)
	time.Sleep(2 * time.Second)
	if trouble {
		l.notef("%d bad clients begin to stop in the middle of a command", halfClients)
		for range halfClients {
			go stopHalfway(f.router.addr, stop)
		}
	}
	all := load.wait()
	if len(all) < 50 {
		return v, errCannotJudge
	}
	if f.router.hasExited() {
		v.addf("the router has ended: %v", f.router.err)
	}
	v.judgeAnswers(l, all, true)
	return v, nil
}

// stopHalfway is a bad client: it sends half a command, waits until the router ends the connection, and does so again.
func stopHalfway(addr string, stop time.Time) {
	command := get("call1", newID(), "call-lookup", 1200)
	for time.Now().Before(stop) {
		c, err := dial(addr)
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		c.SetDeadline(stop.Add(time.Second))
		c.Write(command[:len(command)/2])
		for err == nil {
			_, err = readReply(c.in)
		}
		c.Close()
	}
}
