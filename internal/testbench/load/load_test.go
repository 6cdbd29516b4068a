package load

import (
	"testing"

	"starlingwinch/internal/machine"
	"starlingwinch/internal/testbench/sim"
)

func TestHistogramQuantilesWithinSixteenth(t *testing.T) {
	var h Histogram
	for v := Time(1); v <= 100_000; v++ {
		h.Add(v)
	}
	for _, q := range []float64{.001, .5, .99, 1} {
		want := Time(q * 100_000)
		if got := h.Quantile(q); got < want || got > want+want/16+1 {
			t.Errorf("quantile %g: got %d, want %d to a sixteenth more", q, got, want)
		}
	}
	if h.N() != 100_000 || h.Mean() != 50_000.5 {
		t.Errorf("%d times of mean %g", h.N(), h.Mean())
	}
}

// runClients runs clients against a server on a simulated network for one second of simulated time.
func runClients(t *testing.T, o Options, serve func(m machine.Machine) (addr string)) *Clients {
	t.Helper()
	w := sim.New(1)
	m := w.Host("all", "10.0.0.1", sim.HostOptions{}).Machine()
	c := NewClients(m, serve(m), o)
	ended := false
	m.At(m.Now()+100_000, func() {
		c.Run(0, 1_000_000, func() {
			ended = true
			c.Close()
		})
	})
	w.Run(m.Now() + 2_000_000)
	if !ended {
		t.Fatal("the run has not ended")
	}
	return c
}

func TestClientsCountEachAnswerOnce(t *testing.T) {
	var cache *Cache
	open := Options{Connections: 4, Rate: 500, Keys: 10, Plain: true}
	c := runClients(t, open, func(m machine.Machine) string {
		var err error
		if cache, err = NewCache(m, "10.0.0.1:0", 100); err != nil {
			t.Fatal(err)
		}
		return cache.Addr()
	})
	_, answered := cache.Counts()
	if c.Served < 495 || c.Served > answered || c.Failed+c.Refused+c.Broken != 0 || c.Latency.N() != c.Served {
		t.Errorf("500 wanted: served %d of %d, failed %d, refused %d, broken %d", c.Served, answered, c.Failed,
			c.Refused, c.Broken)
	}
}

// surplusServer answers each read with two values.
type surplusServer struct{ nc machine.Conn }

func (h surplusServer) Readable() {
	b := make([]byte, readSize)
	for {
		if _, err := h.nc.Read(b); err != nil {
			return
		}
		h.nc.Write([]byte("$1\r\na\r\n$1\r\na\r\n"))
	}
}
func (surplusServer) Writable() {}

func TestSurplusAnswersDoNotGrowLoad(t *testing.T) {
	c := runClients(t, Options{Connections: 2, Keys: 1, Plain: true}, func(m machine.Machine) string {
		ln, err := m.Listen("10.0.0.1:0", func(nc machine.Conn) machine.Handler { return surplusServer{nc} })
		if err != nil {
			t.Fatal(err)
		}
		return ln.Addr()
	})
	if c.Failed != 2 || c.requestsSent > 10 {
		t.Errorf("got %d failures and %d requests, want 2 failures, one per connection, and at most 10 requests", c.Failed, c.requestsSent)
	}
}
