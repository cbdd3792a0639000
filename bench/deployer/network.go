package deployer

import (
	"net/netip"
	"time"

	"sycamorerun/bench/relayer"
)

// Partition cuts zones off from all others and from the store.
func (f *Fleet) Partition(zones ...string) { f.set(f.cut, zones, true) }

// Freeze stops the traffic of zones with all others and the store; open
// connections stay open.
func (f *Fleet) Freeze(zones ...string) { f.set(f.frozen, zones, true) }

// Separate cuts some zones off from others, and from the store when it is in
// one of the others; both sides reach all remaining zones.
func (f *Fleet) Separate(zones, others []string) {
	f.mutex.Lock()
	for _, zone := range zones {
		for _, other := range others {
			f.apart[[2]string{zone, other}], f.apart[[2]string{other, zone}] = true, true
		}
	}
	f.mutex.Unlock()
	f.applyRules()
}

// Blackhole makes the open connections of zones with all others and the store
// swallow all traffic for good; new ones work.
func (f *Fleet) Blackhole(zones ...string) {
	f.set(f.silent, zones, true)
	f.set(f.silent, zones, false)
}

// Degrade adds jitter and loss to the traffic of zones with all others and the
// store, on top of those of the Spec.
func (f *Fleet) Degrade(jitter time.Duration, loss float64, zones ...string) {
	f.mutex.Lock()
	for _, zone := range zones {
		f.degraded[zone] = relayer.Rule{Jitter: jitter, Loss: loss}
	}
	f.mutex.Unlock()
	f.applyRules()
}

// Heal ends all partitions, freezes, jitter and loss that were added; silent
// connections stay silent.
func (f *Fleet) Heal() {
	f.mutex.Lock()
	clear(f.cut)
	clear(f.frozen)
	clear(f.apart)
	clear(f.degraded)
	f.mutex.Unlock()
	f.applyRules()
}

func (f *Fleet) set(state map[string]bool, zones []string, value bool) {
	f.mutex.Lock()
	for _, zone := range zones {
		state[zone] = value
	}
	f.mutex.Unlock()
	f.applyRules()
}

func (f *Fleet) applyRules() {
	for _, node := range f.Nodes {
		if relay := f.nodeRelays[node.Name]; relay != nil {
			relay.Apply(f.ruleTo(node.Zone))
		}
	}
	for name, relay := range f.zoneRelays {
		f.mutex.Lock()
		var rule relayer.Rule
		for _, zone := range f.Spec.Zones {
			if zone.Name == name {
				// The store is in the first zone's region.
				rule = f.link(zone, f.Spec.Zones[0])
			}
		}
		rule.Cut = f.cut[name] || f.apart[[2]string{name, f.Spec.Zones[0].Name}]
		rule.Freeze, rule.Blackhole = f.frozen[name], f.silent[name]
		f.mutex.Unlock()
		relay.Apply(func(netip.Addr) relayer.Rule { return rule })
	}
}

// ruleTo returns what happens to traffic towards a zone, by the source's zone.
func (f *Fleet) ruleTo(to Zone) func(netip.Addr) relayer.Rule {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	rules := map[string]relayer.Rule{}
	for _, from := range f.Spec.Zones {
		rule := f.link(from, to)
		if from.Name != to.Name {
			rule.Cut = f.cut[from.Name] || f.cut[to.Name] || f.apart[[2]string{from.Name, to.Name}]
			rule.Freeze = f.frozen[from.Name] || f.frozen[to.Name]
			rule.Blackhole = f.silent[from.Name] || f.silent[to.Name]
		}
		rules[from.Name] = rule
	}
	return func(source netip.Addr) relayer.Rule {
		from, _ := f.Spec.zoneOf(source)
		return rules[from.Name]
	}
}

// link returns the delay, jitter and loss between two zones. The caller holds
// the mutex.
func (f *Fleet) link(from, to Zone) relayer.Rule {
	rule := relayer.Rule{Delay: f.Spec.delay(from, to)}
	if from.Name == to.Name {
		return rule
	}
	a, b := f.degraded[from.Name], f.degraded[to.Name]
	rule.Jitter = max(f.Spec.Jitter, a.Jitter, b.Jitter)
	rule.Loss = max(f.Spec.Loss, a.Loss, b.Loss)
	return rule
}
