package sim

import (
	"testing"

	"starlingwinch/internal/machine"
)

// reportEvents has a benchmark give its events a second.
func reportEvents(b *testing.B, w *World, before int64) {
	b.ReportMetric(float64(w.Steps()-before)/b.Elapsed().Seconds(), "events/s")
}

func BenchmarkTimers(b *testing.B) {
	w := New(1)
	m := w.Host("a", "10.0.0.1", HostOptions{}).Machine()
	r := w.Rand("timers")
	for range 1000 {
		var again func()
		again = func() { m.At(m.Now()+1+r.Int64N(1000), again) }
		again()
	}
	b.ReportAllocs()
	for b.Loop() {
		w.Step()
	}
	reportEvents(b, w, 0)
}

// BenchmarkDeadlines sets a deadline far off for each small step and takes it back, as a router does.
func BenchmarkDeadlines(b *testing.B) {
	w := New(1)
	m := w.Host("a", "10.0.0.1", HostOptions{}).Machine()
	for range 1000 {
		var deadline machine.Timer
		var again func()
		again = func() {
			if deadline != nil {
				deadline.Stop()
			}
			deadline = m.At(m.Now()+3*Second, func() {})
			m.At(m.Now()+100, again)
		}
		again()
	}
	b.ReportAllocs()
	for b.Loop() {
		w.Step()
	}
	reportEvents(b, w, 0)
}

// BenchmarkEcho bounces 64 bytes over each of 200 connections between two zones.
func BenchmarkEcho(b *testing.B) {
	w := New(1)
	server := w.Host("server", "10.0.0.1", HostOptions{Zone: "a"})
	client := w.Host("client", "10.0.0.2", HostOptions{Zone: "b"})
	l, err := server.Machine().Listen("10.0.0.1:80", func(c machine.Conn) machine.Handler {
		return &bouncer{conn: c}
	})
	if err != nil {
		b.Fatal(err)
	}
	for range 200 {
		client.Machine().Dial(l.Addr(), Second, func(c machine.Conn, err error) machine.Handler {
			if err != nil {
				b.Fatal(err)
			}
			c.Write(make([]byte, 64))
			return &bouncer{conn: c}
		})
	}
	w.Run(w.Now() + Second)
	before := w.Steps()
	b.ReportAllocs()
	for b.Loop() {
		w.Step()
	}
	reportEvents(b, w, before)
}

// bouncer writes back what it reads.
type bouncer struct {
	conn machine.Conn
	buf  [512]byte
}

func (e *bouncer) Readable() {
	for {
		n, err := e.conn.Read(e.buf[:])
		if err != nil {
			return
		}
		e.conn.Write(e.buf[:n])
	}
}

func (e *bouncer) Writable() {}
