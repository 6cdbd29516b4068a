package router

import (
	"reflect"
	"slices"

	"starlingwinch/internal/snapshotstore"
)

// Reload applies a new configuration, at SIGHUP. Changes to the discovery address, the file with the fixed endpoint list, the
// hooks, the snapshot folder and the peers take effect at once; all other changes take effect at the next start. A router that is
// ending ignores the new configuration, so that it does not reopen resources that it has closed.
func (r *Router) Reload(cfg *Config) {
	if r.isEnding() {
		r.logger.Info("reload ignored: the router is ending", "trigger", "SIGHUP")
		return
	}
	isServing := r.state == stateServing
	if !isServing { // these settings are not in use yet
		r.cfg.Listen, r.cfg.SnapshotStore, r.cfg.Hooks = cfg.Listen, cfg.SnapshotStore, cfg.Hooks
	}
	if r.needsRestart(cfg) {
		r.logger.Warn("changed configuration waits for a restart", "trigger", "SIGHUP")
	}
	if isServing {
		r.reloadHooks(cfg.Hooks)
		r.reloadSnapshotStore(cfg.SnapshotStore)
	}
	r.sources.ReloadFile()
	r.reloadPeers(cfg.PeerAddrs)
	r.reloadDiscovery(cfg.Discovery)
}

// needsRestart reports whether a configuration differs from the current one in settings that are read only at the start.
func (r *Router) needsRestart(cfg *Config) bool {
	return cfg.Name != r.cfg.Name ||
		cfg.Seed != r.cfg.Seed ||
		cfg.Listen != r.cfg.Listen ||
		cfg.PeerListen != r.cfg.PeerListen ||
		cfg.limitsBeforeHooks() != r.machineLimits ||
		!reflect.DeepEqual(cfg.Settings, r.cfg.Settings) ||
		cfg.Transport != r.cfg.Transport ||
		cfg.OperatorLimits != r.cfg.OperatorLimits ||
		cfg.RetryStorm != r.cfg.RetryStorm ||
		cfg.Events != r.cfg.Events ||
		!reflect.DeepEqual(cfg.Gossip, r.cfg.Gossip) ||
		!reflect.DeepEqual(cfg.Endpoints, r.cfg.Endpoints) ||
		!reflect.DeepEqual(cfg.Eureka, r.cfg.Eureka)
}

// reloadSnapshotStore switches the snapshots to another folder, or turns them on or off.
func (r *Router) reloadSnapshotStore(cfg snapshotstore.Config) {
	if cfg == r.cfg.SnapshotStore {
		return
	}
	previous := r.snapshots
	previous.close()
	r.cfg.SnapshotStore = cfg
	r.snapshots = r.openSnapshots(cfg, true)
	if r.snapshots == nil {
		r.logger.Info("snapshots switched off", "trigger", "SIGHUP")
		return
	}
	if previous != nil {
		r.snapshots.unrestored, r.snapshots.unrestoredExpiry = previous.unrestored, previous.unrestoredExpiry
	}
	r.logger.Info("snapshot folder changed", "folder", cfg.Folder)
}

// reloadPeers updates the gossip addresses of the other routers if gossip is enabled. A router that still waits for its gossip
// address uses the new addresses when it joins.
func (r *Router) reloadPeers(addrs []string) {
	if !r.cfg.Gossip.Enabled || slices.Equal(addrs, r.cfg.PeerAddrs) {
		return
	}
	r.cfg.PeerAddrs = addrs
	r.logger.Info("peers changed", "peers", len(r.cfg.peers()))
	if r.gossip != nil {
		r.gossip.transport.Peers(r.cfg.peers())
	}
}

// reloadDiscovery updates the address of discovery.
func (r *Router) reloadDiscovery(addr string) {
	if addr == r.cfg.Discovery {
		r.logger.Info("discovery address unchanged", "address", addr)
		return
	}
	r.logger.Info("discovery address changed", "address", addr)
	r.cfg.Discovery = addr
	r.sources.SetDiscovery(addr)
}
