package machine

import (
	"os"
	"os/signal"
	"syscall"
)

// signalsKept is how many signals are kept for who has not asked for them yet.
const signalsKept = 64

// signals takes the process's signals from the machine's start to its end; then they have their
// usual effect again.
//
// The danger: a SIGHUP that nobody takes ends the process, so one that comes while the
// configuration is still being read would.
type signals struct {
	post func(func())
	in   chan os.Signal
	quit chan struct{}
	kept []Signal
	f    func(Signal)
}

func (s *signals) begin(post func(func())) {
	s.post = post
	s.in = make(chan os.Signal, signalsKept)
	s.quit = make(chan struct{})
	signal.Notify(s.in, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go s.run()
}

func (s *signals) run() {
	for {
		select {
		case sig := <-s.in:
			what := Terminate
			if sig == syscall.SIGHUP {
				what = HangUp
			}
			s.post(func() { s.keep(what) })
		case <-s.quit:
			return
		}
	}
}

// keep is called in the loop with each signal.
func (s *signals) keep(what Signal) {
	if len(s.kept) < signalsKept {
		s.kept = append(s.kept, what)
	}
	s.tell()
}

func (s *signals) to(f func(Signal)) {
	s.f = f
	s.post(s.tell)
}

func (s *signals) tell() {
	for s.f != nil && len(s.kept) > 0 {
		what := s.kept[0]
		s.kept = s.kept[1:]
		s.f(what)
	}
}

func (s *signals) end() {
	signal.Stop(s.in)
	close(s.quit)
}
