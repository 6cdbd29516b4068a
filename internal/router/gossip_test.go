package router

import (
	"strings"
	"testing"

	"starlingwinch/decide"
	"starlingwinch/internal/gossip"
	"starlingwinch/internal/guard"
	"starlingwinch/internal/machine"
	"starlingwinch/internal/testbench/routertest"
)

// gossipConfig returns the configuration of one of several routers with gossip.
func gossipConfig(t *testing.T, name, listen string, peers []string, edit func(map[string]any)) *Config {
	cfg := testConfig(t, "127.0.0.1:1", func(in map[string]any) {
		in["name"], in["peer_listen"], in["peers"] = name, listen, peers
		in["settings"].(map[string]any)["limits"].(map[string]any)["peerMessages"] = true
		if edit != nil {
			edit(in)
		}
	}, host("c1", "127.0.0.1:1", "in_service"))
	cfg.Gossip.Enabled = true
	return cfg
}

// packetPorts returns addresses for datagrams that were free a moment ago.
func packetPorts(t *testing.T, n int) (addrs []string) {
	l := routertest.NewLoop(t, nil)
	l.Do(func() {
		var held []machine.PacketConn
		for range n {
			c, err := l.ListenPacket("127.0.0.1:0", func(string, []byte) {})
			if err != nil {
				t.Error(err)
				return
			}
			held, addrs = append(held, c), append(addrs, c.Addr())
		}
		for _, c := range held {
			c.Close()
		}
	})
	return addrs
}

func TestGossipNotAllowedFailsStart(t *testing.T) {
	for want, edit := range map[string]func(map[string]any){
		"settings.limits.peerMessages": func(in map[string]any) {
			in["settings"].(map[string]any)["limits"].(map[string]any)["peerMessages"] = false
		},
		"peer_listen":  func(in map[string]any) { in["peer_listen"] = "" },
		"a name of 33": func(in map[string]any) { in["name"] = strings.Repeat("n", gossip.MaxNameBytes+1) },
	} {
		addr := packetPorts(t, 1)
		l := routertest.NewLoop(t, nil)
		l.Do(func() {
			r, err := Start(l, gossipConfig(t, "n0", addr[0], addr, edit))
			if err == nil {
				r.Close()
			}
			if err == nil || !strings.Contains(err.Error(), want) {
				t.Errorf("%v, want an error that names %s", err, want)
			}
		})
	}
}

// TestGossipWaitsForItsAddress has the process before hold the gossip address. The router serves meanwhile, and joins
// once the address is free.
func TestGossipWaitsForItsAddress(t *testing.T) {
	addr := packetPorts(t, 1)
	l := routertest.NewLoop(t, nil)
	var before machine.PacketConn
	l.Do(func() {
		var err error
		if before, err = l.ListenPacket(addr[0], func(string, []byte) {}); err != nil {
			t.Error(err)
		}
	})
	r := startOn(t, l, gossipConfig(t, "n0", addr[0], addr, nil), nil)
	if answer := ping(t, r.addr); answer != "+PONG" {
		t.Errorf("PING: %q while the address for datagrams is held", answer)
	}
	l.Do(func() {
		if r.r.Gossip() != nil {
			t.Error("it has a view at an address that another holds")
		}
		before.Close()
	})
	l.Until("a view", func() bool { return r.r.Gossip() != nil })
}

// TestReloadWhileGossipWaitsKeepsNewPeers reloads with another peer while the process before holds the gossip address.
func TestReloadWhileGossipWaitsKeepsNewPeers(t *testing.T) {
	addrs := packetPorts(t, 2)
	l := routertest.NewLoop(t, nil)
	var before machine.PacketConn
	heard := make(chan struct{}, 1000)
	l.Do(func() {
		var err error
		if before, err = l.ListenPacket(addrs[0], func(string, []byte) {}); err != nil {
			t.Error(err)
		}
		if _, err = l.ListenPacket(addrs[1], func(string, []byte) { heard <- struct{}{} }); err != nil {
			t.Error(err)
		}
	})
	r := startOn(t, l, gossipConfig(t, "n0", addrs[0], addrs[:1], nil), nil)
	l.Do(func() {
		r.r.Reload(gossipConfig(t, "n0", addrs[0], addrs, nil))
		before.Close()
	})
	routertest.Receive(t, heard, "a datagram at the new peer")
}

// ping sends a router PING on a connection of its own, and returns the answer.
func ping(t *testing.T, addr string) string {
	t.Helper()
	c := dial(t, addr)
	c.Send("PING\r\n")
	return c.Line()
}

// routerCountRecorder is a module that records the router counts that it receives.
type routerCountRecorder struct {
	guard.Module
	routers []int
}

func (m *routerCountRecorder) Handle(now decide.Time, ev decide.Event) []decide.Action {
	if f, is := ev.(*decide.RouterCount); is {
		m.routers = append(m.routers, f.Routers)
	}
	return m.Module.Handle(now, ev)
}

func TestGossipUpdatesRouterCountAndAnnouncesDrain(t *testing.T) {
	addrs := packetPorts(t, 3)
	var modules [3]*routerCountRecorder
	var routers [3]*running
	for i := range routers {
		cfg := gossipConfig(t, []string{"n0", "n1", "n2"}[i], addrs[i], addrs, nil)
		cfg.Wrap = func(m guard.Module) guard.Module {
			modules[i] = &routerCountRecorder{Module: m}
			return modules[i]
		}
		routers[i] = start(t, cfg, nil, nil)
	}
	states := func(i int) map[string]gossip.State {
		all := map[string]gossip.State{}
		for _, m := range routers[i].r.Gossip().Members() {
			all[m.Name] = m.State
		}
		return all
	}
	for i := range routers {
		routers[i].Until("all three here and settled", func() bool {
			settled, _, _ := routers[i].r.Gossip().Settled()
			return settled && len(states(i)) == 3
		})
		routers[i].Until("the module divides by three, where the settings say one", func() bool {
			n := modules[i].routers
			return len(n) > 0 && n[len(n)-1] == 3
		})
	}
	routers[2].Do(func() { routers[2].r.Drain(func() {}) })
	routers[0].Until("the one that drains said so", func() bool { s := states(0)["n2"]; return s == gossip.Leaving || s == gossip.Left })
	routers[0].Until("the module divides by two", func() bool {
		n := modules[0].routers
		return n[len(n)-1] == 2
	})
	next := gossipConfig(t, "n1", addrs[1], addrs[1:], nil)
	next.Listen = routers[1].r.cfg.Listen
	routers[1].Do(func() { routers[1].r.Reload(next) })
	routers[1].Do(func() {
		for _, m := range routers[1].r.Gossip().Members() {
			if m.Name == "n0" && (m.Configured || m.Addr != "") {
				t.Errorf("after its address was taken from the configuration: %+v", m)
			}
		}
	})
}

func TestGossipOffOpensNoSocket(t *testing.T) {
	cfg := gossipConfig(t, "n0", "127.0.0.1:1", []string{"127.0.0.1:1"}, nil)
	cfg.Gossip.Enabled = false
	s := start(t, cfg, nil, nil)
	s.Do(func() {
		if s.r.gossip != nil || s.r.Gossip() != nil {
			t.Error("a view is kept that is switched off")
		}
	})
}
