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

// gossipMember is this router's membership in the gossip between the routers of the cluster, with the router count that is
// derived from the members.
type gossipMember struct {
	transport        *transport.Transport
	divisor          gossip.Divisor
	dividesByMembers bool        // the router count follows the members, as operators have configured
	routerCount      int         // the count that the module last received
	info             gossip.Info // published to the other members
}

// joinGossip joins the gossip if operators have enabled it.
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

// startGossip opens the gossip address. While the predecessor process still holds the address, startGossip schedules a retry, and
// the router serves without gossip. isRetry is false for the first try. startGossip returns only errors that waiting cannot
// resolve.
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

// retryGossip retries opening the gossip address. It runs once per addressRetryInterval until the address is available or the
// router drains.
func (r *Router) retryGossip(member *gossipMember, cfg gossip.Config) {
	if r.isEnding() {
		return
	}
	cfg.Peers = r.cfg.peers() // a reload may have changed the peers
	if err := r.startGossip(member, cfg, true); err != nil {
		r.logger.Error("gossip not started", "cause", err)
	}
}

// peers returns the gossip addresses of the other routers.
func (c *Config) peers() []string {
	return slices.DeleteFunc(slices.Clone(c.PeerAddrs), func(addr string) bool { return addr == c.PeerListen })
}

// updateRouterCount notifies the module if the number of routers among which shared limits are divided has changed. The transport
// calls updateRouterCount when the members change, and the periodic check calls it because a hold time may have expired.
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

// publishListVersion publishes the version and digest of the router's endpoint list to the other members.
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

// listDigest returns a digest of the names and statuses in the endpoint list. Routers with the same list have the same digest.
func (r *Router) listDigest() (sum uint32) {
	for id, e := range r.endpoints { // in any order, since addition is commutative
		digest := fnv.New32a()
		digest.Write([]byte(id))
		digest.Write([]byte{byte(e.entry.Status)})
		sum += digest.Sum32()
	}
	return sum
}

// Gossip returns the router's view of the gossip members, or nil if the router has not joined the gossip.
func (r *Router) Gossip() *gossip.View {
	if r.gossip == nil {
		return nil
	}
	return r.gossip.transport.View()
}
