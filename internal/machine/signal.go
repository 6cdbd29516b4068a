package machine

import (
	"os"
	"os/signal"
	"syscall"
)

// maxPendingSignals limits the signals that wait for a handler.
const maxPendingSignals = 64

// signals receives the process's signals from the machine's start to its end. Signals that arrive before a handler is set, for
// example while the configuration is read, are queued; by default a SIGHUP would end the process.
type signals struct {
	post     func(func())
	received chan os.Signal
	quit     chan struct{}
	pending  []Signal
	handler  func(Signal)
}

func (s *signals) begin(post func(func())) {
	s.post = post
	s.received = make(chan os.Signal, maxPendingSignals)
	s.quit = make(chan struct{})
	signal.Notify(s.received, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go s.run()
}

func (s *signals) run() {
	for {
		select {
		case sig := <-s.received:
			delivered := Terminate
			if sig == syscall.SIGHUP {
				delivered = HangUp
			}
			s.post(func() { s.add(delivered) })
		case <-s.quit:
			return
		}
	}
}

// add is called in the loop with each signal.
func (s *signals) add(sig Signal) {
	if len(s.pending) < maxPendingSignals {
		s.pending = append(s.pending, sig)
	}
	s.deliver()
}

func (s *signals) handleWith(f func(Signal)) {
	s.handler = f
	s.post(s.deliver)
}

func (s *signals) deliver() {
	for s.handler != nil && len(s.pending) > 0 {
		sig := s.pending[0]
		s.pending = s.pending[1:]
		s.handler(sig)
	}
}

func (s *signals) end() {
	signal.Stop(s.received)
	close(s.quit)
}
