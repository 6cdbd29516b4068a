package machine

import (
	"os"
	"os/signal"
	"syscall"
)

// maxPendingSignals bounds the signals that wait for a handler.
const maxPendingSignals = 64

// signals receives the process's signals from the machine's start to its end. Signals that come before there is a handler, as
// while the configuration is read, wait: by default a SIGHUP would end the process.
type signals struct {
	post    func(func())
	in      chan os.Signal
	quit    chan struct{}
	pending []Signal
	handler func(Signal)
}

func (s *signals) begin(post func(func())) {
	s.post = post
	s.in = make(chan os.Signal, maxPendingSignals)
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
			s.post(func() { s.add(what) })
		case <-s.quit:
			return
		}
	}
}

// add is called in the loop with each signal.
func (s *signals) add(what Signal) {
	if len(s.pending) < maxPendingSignals {
		s.pending = append(s.pending, what)
	}
	s.deliver()
}

func (s *signals) handleWith(f func(Signal)) {
	s.handler = f
	s.post(s.deliver)
}

func (s *signals) deliver() {
	for s.handler != nil && len(s.pending) > 0 {
		what := s.pending[0]
		s.pending = s.pending[1:]
		s.handler(what)
	}
}

func (s *signals) end() {
	signal.Stop(s.in)
	close(s.quit)
}
