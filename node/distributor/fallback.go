package distributor

import (
	"slices"
	"time"

	"sycamorerun/node/planner"
)

const (
	// parentSilence is the time without a heartbeat from any parent, of which
	// one comes each second, after which a node asks elsewhere. The failure of
	// a node that is the only parent of another one is detected 6 s after it,
	// nearly when a change is due everywhere.
	parentSilence = 2500 * time.Millisecond
	// fallbackPeriod is the time between two such requests.
	fallbackPeriod = time.Second
)

// refuges returns the peers that a node asks while it hears no parent: the
// regions' first members, without itself and its parents.
func refuges(self string, plan planner.Plan, silent func(string) bool) []string {
	var parents, result []string
	for _, link := range plan.Links {
		if link.Role != planner.RoleParent {
			continue
		}
		if !silent(link.Name) {
			return nil
		}
		parents = append(parents, link.Name)
	}
	if len(parents) == 0 {
		return nil
	}
	for _, first := range plan.Regions {
		if first.Name != self && !slices.Contains(parents, first.Name) {
			result = append(result, first.Name)
		}
	}
	return result
}

// fallback returns the peer to ask now because no parent is heard, or empty.
// The caller holds the mutex.
func (d *Distributor) fallback(now time.Time, plan planner.Plan) string {
	if d.Mode != Tree || now.Sub(d.lastFallback) < fallbackPeriod {
		return ""
	}
	names := refuges(d.Self, plan, func(name string) bool {
		peer := d.wants.peers[name]
		return peer == nil || now.Sub(peer.seen) > parentSilence
	})
	for _, name := range choose(names, 1, "", d.Random) {
		if d.wants.peer(name).pulling.IsZero() {
			d.lastFallback = now
			d.count("distributor_fallbacks", 1)
			return name
		}
	}
	return ""
}
