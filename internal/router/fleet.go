package router

import (
	"errors"
	"hash/fnv"
	"slices"

	"starlingwinch/decide"
	"starlingwinch/internal/gossip"
	"starlingwinch/internal/gossip/transport"
	"starlingwinch/internal/machine"
)

// fleetView is the router's view of the others of its tier, and what it makes of it: the number by which the decision
// module divides what all may take together.
type fleetView struct {
	link    *transport.Transport
	divisor gossip.Divisor
	shares  bool
	by      int // as the module was told
	own     gossip.Info
}

// joinFleet starts the view where operators have switched it on.
func (r *Router) joinFleet() error {
	o := &r.cfg.Gossip
	if !o.Enabled {
		return nil
	}
	if !r.cfg.Transport.PeerMessages {
		return errors.New("fleet: enabled, but the platform allows no messages between routers (settings.limits.peerMessages)")
	}
	if r.cfg.PeerListen == "" {
		return errors.New("fleet: enabled, but the configuration names no address for them (peer_listen)")
	}
	cfg := o.Config()
	cfg.Name, cfg.Addr, cfg.Peers = r.cfg.Name, r.cfg.PeerListen, r.cfg.others()
	v := &fleetView{shares: o.DivideByMembers, by: r.cfg.Settings.Routers}
	v.divisor = gossip.Divisor{Min: o.MinMembers, Hold: o.Hold.Microseconds()}
	if o.MinMembers == 0 {
		v.divisor.Min = r.cfg.Settings.Routers
	}
	v.own = gossip.Info{Config: r.cfg.Digest, Build: r.cfg.Build}
	cfg.Info = v.own
	return r.startFleet(v, cfg, false)
}

// startFleet starts the view, now or once its address can be had: the process before holds it up to its end. The router serves
// meanwhile as it does without a view.
func (r *Router) startFleet(v *fleetView, cfg gossip.Config, waited bool) (err error) {
	if v.link, err = transport.Start(r.m, r.cfg.PeerListen, cfg, r.divide); machine.Passes(err) {
		if !waited {
			r.Log("fleet: waiting for the address: " + err.Error())
		}
		r.joining = r.m.At(r.m.Now()+addressPause, func() {
			if r.closed || r.onDrained != nil {
				return
			}
			if err := r.startFleet(v, cfg, true); err != nil {
				r.Log("fleet: no view: " + err.Error())
			}
		})
		return nil
	}
	if err != nil {
		return err
	}
	if waited {
		r.Log("fleet: it has its address")
	}
	r.fleet = v
	r.actsOn(r.sources.Version())
	return nil
}

// others are the addresses of the other routers.
func (c *Config) others() []string {
	return slices.DeleteFunc(slices.Clone(c.PeerAddrs), func(a string) bool { return a == c.PeerListen })
}

// divide tells the module by how many routers what all may take is divided, where that has changed.
func (r *Router) divide() {
	if r.fleet == nil || !r.fleet.shares || r.closed {
		return
	}
	if by := r.fleet.divisor.Divisor(r.fleet.link.View().Membership()); by != r.fleet.by {
		r.fleet.by = by
		r.backlog = append(r.backlog, &decide.RouterCount{Routers: by})
		r.ProcessEvents()
	}
}

// actsOn has the others told which list the module acts on.
func (r *Router) actsOn(version int64) {
	if r.fleet == nil {
		return
	}
	own := r.fleet.own
	own.List, own.Digest = uint64(max(0, version)), r.listDigest()
	if own != r.fleet.own {
		r.fleet.own = own
		r.fleet.link.UpdateInfo(own)
	}
}

// listDigest is one of the caches that the module knows: routers that act on the same list have the same.
func (r *Router) listDigest() (sum uint32) {
	for id, h := range r.caches { // any order: a sum
		f := fnv.New32a()
		f.Write([]byte(id))
		f.Write([]byte{byte(h.entry.Status)})
		sum += f.Sum32()
	}
	return sum
}

// Gossip is the router's view of the others; nil where it keeps none.
func (r *Router) Gossip() *gossip.View {
	if r.fleet == nil {
		return nil
	}
	return r.fleet.link.View()
}
