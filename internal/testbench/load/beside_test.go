package load

import (
	"io"
	"strings"
	"testing"

	"starlingwinch/internal/machine"
	"starlingwinch/internal/testbench/sim"
)

// silentServer accepts connections, records the bytes it reads and never answers.
type silentServer struct{ got strings.Builder }

func (s *silentServer) open(nc machine.Conn) machine.Handler { return &silentConn{s, nc} }

type silentConn struct {
	s  *silentServer
	nc machine.Conn
}

func (c *silentConn) Writable() {}

func (c *silentConn) Readable() {
	var b [4096]byte
	for {
		n, err := c.nc.Read(b[:])
		c.s.got.Write(b[:n])
		if err != nil {
			if err != machine.ErrWait {
				c.nc.Close()
			}
			return
		}
	}
}

func TestBesideReportsEachTarget(t *testing.T) {
	m, err := machine.New(machine.Options{Log: io.Discard})
	if err != nil {
		t.Fatal(err)
	}
	slow, err := NewCache(m, "127.0.0.1:0", 10)
	if err != nil {
		t.Fatal(err)
	}
	slow.Delay = 20_000
	silent, err := m.Listen("127.0.0.1:0", (&silentServer{}).open)
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	go func() {
		m.Run()
		close(ended)
	}()
	defer func() {
		m.Stop()
		<-ended
	}()
	lax := Options{Class: "lax", Connections: 2, Rate: 200, Keys: 10, Plain: true, LatencyObjective: 60_000_000, Wait: 500_000}
	strict := lax
	strict.Class, strict.LatencyObjective = "strict", 19_000
	results, err := Beside([]string{slow.Addr(), silent.Addr()}, []Options{lax, strict}, 50_000, 250_000)
	if err != nil {
		t.Fatal(err)
	}
	for i, classes := range results {
		for _, c := range classes {
			inTime := int64(0)
			if c.Name == "lax" && i == 0 {
				inTime = c.Asked
			}
			answered := i == 0
			if c.Asked < 40 || answered != (c.Done == c.Asked) || c.InTime != inTime || answered != (c.Lost() == c.Overdue) ||
				!answered && c.Lost() != c.Asked {
				t.Errorf("target %d: %+v", i, c)
			}
		}
	}
}

func TestWriteCarriesIdempotencyKey(t *testing.T) {
	s := &silentServer{}
	w := sim.New(1)
	m := w.Host("all", "10.0.0.1", sim.HostOptions{}).Machine()
	ln, err := m.Listen("10.0.0.1:0", s.open)
	if err != nil {
		t.Fatal(err)
	}
	c := NewClients(m, ln.Addr(), Options{Class: "put", Connections: 1, Rate: 10, Keys: 1, Write: true, Wait: 1_000_000})
	m.At(m.Now()+100_000, func() { c.Run(0, 50_000, func() {}) })
	w.Run(m.Now() + 300_000)
	want := "*5\r\n$5\r\nC.SET\r\n$4\r\nkey1\r\n$2\r\np1\r\n$17\r\nc=put,d=1000,k=p1\r\n$14\r\na value to set\r\n"
	if got := s.got.String(); got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}
