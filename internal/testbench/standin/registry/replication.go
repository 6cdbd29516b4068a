package registry

import "slices"

// Join makes registries replicas of each other. A closed one is left out from then on.
func Join(all ...*Registry) {
	for _, r := range all {
		for _, p := range all {
			if p != r && !slices.Contains(r.peers, p) {
				r.peers = append(r.peers, p)
			}
		}
	}
}

// replicate applies a change to the other replicas after the replica delay.
func (r *Registry) replicate(f func(*Registry)) {
	if len(r.peers) == 0 {
		return
	}
	r.machine.At(r.machine.Now()+r.options.ReplicaDelay, func() {
		for _, p := range r.peers {
			if !p.closed && !r.closed {
				f(p)
			}
		}
	})
}
