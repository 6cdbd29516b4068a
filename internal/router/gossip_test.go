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

// gossipConfig returns the configuration of a router that gossips with peers.
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

// freePacketAddresses returns UDP addresses that were free a moment ago.
func freePacketAddresses(t *testing.T, n int) (addrs []string) {
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
		"peer_listen":       func(in map[string]any) { in["peer_listen"] = "" },
		"name has 33 bytes": func(in map[string]any) { in["name"] = strings.Repeat("n", gossip.MaxNameBytes+1) },
	} {
		addr := freePacketAddresses(t, 1)
		l := routertest.NewLoop(t, nil)
		l.Do(func() {
			r, err := Start(l, gossipConfig(t, "n0", addr[0], addr, edit))
			if err == nil {
				r.Close()
			}
			if err == nil || !strings.Contains(err.Error(), want) {
				t.Errorf("got error %v, want one that names %s", err, want)
			}
		})
	}
}

// TestGossipWaitsForHeldAddress starts a router while the previous process holds its gossip address. The router serves without
// gossip, and joins once the address is free.
func TestGossipWaitsForHeldAddress(t *testing.T) {
	addr := freePacketAddresses(t, 1)
	l := routertest.NewLoop(t, nil)
	var previous machine.PacketConn
	l.Do(func() {
		var err error
		if previous, err = l.ListenPacket(addr[0], func(string, []byte) {}); err != nil {
			t.Error(err)
		}
	})
	r := startOn(t, l, gossipConfig(t, "n0", addr[0], addr, nil), nil)
	if answer := ping(t, r.addr); answer != "+PONG" {
		t.Errorf("got answer %q to PING while the gossip address is held, want +PONG", answer)
	}
	l.Do(func() {
		if r.r.Gossip() != nil {
			t.Error("router has a member list while another process holds its gossip address")
		}
		previous.Close()
	})
	l.Until("member list", func() bool { return r.r.Gossip() != nil })
}

// TestReloadWhileGossipWaitsKeepsNewPeers reloads with an additional peer while the previous process holds the gossip address.
// The router must contact that peer once it has the address.
func TestReloadWhileGossipWaitsKeepsNewPeers(t *testing.T) {
	addrs := freePacketAddresses(t, 2)
	l := routertest.NewLoop(t, nil)
	var previous machine.PacketConn
	received := make(chan struct{}, 1000)
	l.Do(func() {
		var err error
		if previous, err = l.ListenPacket(addrs[0], func(string, []byte) {}); err != nil {
			t.Error(err)
		}
		if _, err = l.ListenPacket(addrs[1], func(string, []byte) { received <- struct{}{} }); err != nil {
			t.Error(err)
		}
	})
	r := startOn(t, l, gossipConfig(t, "n0", addrs[0], addrs[:1], nil), nil)
	l.Do(func() {
		r.r.Reload(gossipConfig(t, "n0", addrs[0], addrs, nil))
		previous.Close()
	})
	routertest.Receive(t, received, "datagram at the new peer")
}

// ping sends PING to a router on a new connection and returns the answer.
func ping(t *testing.T, addr string) string {
	t.Helper()
	c := dial(t, addr)
	c.Send("PING\r\n")
	return c.Line()
}

// routerCountRecorder wraps a module and records the router counts that it receives.
type routerCountRecorder struct {
	guard.Module
	counts []int
}

func (m *routerCountRecorder) Handle(now decide.Time, ev decide.Event) []decide.Action {
	if f, is := ev.(*decide.RouterCount); is {
		m.counts = append(m.counts, f.Routers)
	}
	return m.Module.Handle(now, ev)
}

func TestGossipUpdatesRouterCountAndAnnouncesDrain(t *testing.T) {
	addrs := freePacketAddresses(t, 3)
	var modules [3]*routerCountRecorder
	var routers [3]*runningRouter
	for i := range routers {
		cfg := gossipConfig(t, []string{"n0", "n1", "n2"}[i], addrs[i], addrs, nil)
		cfg.WrapModule = func(m guard.Module) guard.Module {
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
		routers[i].Until("settled member list of three", func() bool {
			settled, _, _ := routers[i].r.Gossip().Settled()
			return settled && len(states(i)) == 3
		})
		routers[i].Until("router count of three in place of the one in the settings", func() bool {
			counts := modules[i].counts
			return len(counts) > 0 && counts[len(counts)-1] == 3
		})
	}
	routers[2].Do(func() { routers[2].r.Drain(func() {}) })
	routers[0].Until("drain of n2 in the member list of n0", func() bool { s := states(0)["n2"]; return s == gossip.Leaving || s == gossip.Left })
	routers[0].Until("router count of two", func() bool {
		counts := modules[0].counts
		return counts[len(counts)-1] == 2
	})
	next := gossipConfig(t, "n1", addrs[1], addrs[1:], nil)
	next.Listen = routers[1].r.cfg.Listen
	routers[1].Do(func() { routers[1].r.Reload(next) })
	routers[1].Do(func() {
		for _, m := range routers[1].r.Gossip().Members() {
			if m.Name == "n0" && (m.Configured || m.Addr != "") {
				t.Errorf("got member %+v after the configuration dropped its address", m)
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
			t.Error("router has a member list while gossip is disabled")
		}
	})
}
