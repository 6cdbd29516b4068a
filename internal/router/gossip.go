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

// gossipMember is this router as a member of the routers' gossip, and the router count that it derives from the others.
type gossipMember struct {
	transport        *transport.Transport
	divisor          gossip.Divisor
	dividesByMembers bool        // operators have the router count follow the members
	routerCount      int         // the count that the module has
	info             gossip.Info // what the others are sent about this router
}

// joinGossip joins the gossip where operators have switched it on. beginServing calls it.
func (r *Router) joinGossip() error {
	options := &r.cfg.Gossip
	if !options.Enabled {
		return nil
	}
	if !r.cfg.Transport.PeerMessages {
		return errors.New("fleet: enabled, but the platform allows no messages between routers (settings.limits.peerMessages)")
	}
	if r.cfg.PeerListen == "" {
		return errors.New("fleet: enabled, but the configuration names no address for them (peer_listen)")
	}
	member := &gossipMember{
		dividesByMembers: options.DivideByMembers,
		routerCount:      r.cfg.Settings.Routers,
		divisor:          gossip.Divisor{Min: options.MinMembers, Hold: options.Hold.Microseconds()},
		info:             gossip.Info{Config: r.cfg.Digest, Build: r.cfg.Build},
	}
	if options.MinMembers == 0 {
		member.divisor.Min = r.cfg.Settings.Routers
	}
	cfg := options.Config()
	cfg.Name = r.cfg.Name
	cfg.Addr = r.cfg.PeerListen
	cfg.Peers = r.cfg.peers()
	cfg.Info = member.info
	return r.startGossip(member, cfg, false)
}

// startGossip opens the gossip address, and tries again later while the process before still has it: the router serves
// meanwhile as without gossip. isRetry is false for the first try. The error is one that waiting doesn't help.
func (r *Router) startGossip(member *gossipMember, cfg gossip.Config, isRetry bool) (err error) {
	member.transport, err = transport.Start(r.m, r.cfg.PeerListen, cfg, r.updateRouterCount)
	if machine.IsTransientListenError(err) {
		if !isRetry {
			r.logger.Warn("gossip waits for its address", "cause", err)
		}
		r.gossipRetryTimer = r.m.At(r.m.Now()+addressRetryInterval, func() { r.retryGossip(member, cfg) })
		return nil
	}
	if err != nil {
		return err
	}
	if isRetry {
		r.logger.Info("gossip has its address", "address", r.cfg.PeerListen)
	}
	r.gossip = member
	r.publishListVersion(r.sources.Version())
	return nil
}

// retryGossip tries again to open the gossip address, each addressRetryInterval until it can be had or the router drains.
func (r *Router) retryGossip(member *gossipMember, cfg gossip.Config) {
	if r.isEnding() {
		return
	}
	cfg.Peers = r.cfg.peers() // a reload may have changed them
	if err := r.startGossip(member, cfg, true); err != nil {
		r.logger.Error("gossip not started", "cause", err)
	}
}

// peers returns the addresses of the other routers.
func (c *Config) peers() []string {
	return slices.DeleteFunc(slices.Clone(c.PeerAddrs), func(addr string) bool { return addr == c.PeerListen })
}

// updateRouterCount hands the module the number of routers among which common limits are divided, where it has changed. The
// transport calls it when the members change, and the periodic check when a hold time may be over.
func (r *Router) updateRouterCount() {
	if r.gossip == nil || !r.gossip.dividesByMembers || r.isStopped() {
		return
	}
	count := r.gossip.divisor.Divisor(r.gossip.transport.View().Membership())
	if count == r.gossip.routerCount {
		return
	}
	r.gossip.routerCount = count
	r.queueEvent(&decide.RouterCount{Routers: count})
	r.ProcessEvents()
}

// publishListVersion sends the others the version and digest of the endpoint list that the module has.
func (r *Router) publishListVersion(version int64) {
	if r.gossip == nil {
		return
	}
	info := r.gossip.info
	info.List = uint64(max(0, version))
	info.Digest = r.listDigest()
	if info != r.gossip.info {
		r.gossip.info = info
		r.gossip.transport.UpdateInfo(info)
	}
}

// listDigest returns a digest of the endpoint list; routers with the same list have the same digest.
func (r *Router) listDigest() (sum uint32) {
	for id, e := range r.endpoints { // any order: a sum
		digest := fnv.New32a()
		digest.Write([]byte(id))
		digest.Write([]byte{byte(e.entry.Status)})
		sum += digest.Sum32()
	}
	return sum
}

// Gossip returns the router's view of the others; nil where it takes no part in gossip.
func (r *Router) Gossip() *gossip.View {
	if r.gossip == nil {
		return nil
	}
	return r.gossip.transport.View()
}
