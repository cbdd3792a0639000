package deployer

import (
	"net/netip"
	"time"

	"sycamorerun/bench/relayer"
)

// Partition cuts zones off from all others and from the store.
func (f *Fleet) Partition(zones ...string) { f.setState(f.partitioned, zones, true) }

// Freeze stops the traffic of zones with all others and the store. Open connections
// stay open.
func (f *Fleet) Freeze(zones ...string) { f.setState(f.frozen, zones, true) }

// Separate cuts zones off from others, and from the store if it is in one of the
// others. Both sides still reach all remaining zones.
func (f *Fleet) Separate(zones, others []string) {
	f.mutex.Lock()
	for _, zone := range zones {
		for _, other := range others {
			f.separated[[2]string{zone, other}], f.separated[[2]string{other, zone}] = true, true
		}
	}
	f.mutex.Unlock()
	f.applyRules()
}

// Blackhole makes the open connections of zones with all others and the store
// discard all traffic permanently. New connections work.
func (f *Fleet) Blackhole(zones ...string) {
	f.setState(f.blackholed, zones, true)
	f.setState(f.blackholed, zones, false)
}

// Degrade sets jitter and loss for the traffic of zones with all others and the
// store. The larger of these and the values of the Spec applies.
func (f *Fleet) Degrade(jitter time.Duration, loss float64, zones ...string) {
	f.mutex.Lock()
	for _, zone := range zones {
		f.degraded[zone] = relayer.Rule{Jitter: jitter, Loss: loss}
	}
	f.mutex.Unlock()
	f.applyRules()
}

// Heal ends all partitions, freezes, added jitter and added loss. Blackholed
// connections stay blackholed.
func (f *Fleet) Heal() {
	f.mutex.Lock()
	clear(f.partitioned)
	clear(f.frozen)
	clear(f.separated)
	clear(f.degraded)
	f.mutex.Unlock()
	f.applyRules()
}

func (f *Fleet) setState(state map[string]bool, zones []string, value bool) {
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
				// The store is in the first zone.
				rule = f.linkRule(zone, f.Spec.Zones[0])
			}
		}
		rule.Cut = f.partitioned[name] || f.separated[[2]string{name, f.Spec.Zones[0].Name}]
		rule.Freeze, rule.Blackhole = f.frozen[name], f.blackholed[name]
		f.mutex.Unlock()
		relay.Apply(func(netip.Addr) relayer.Rule { return rule })
	}
}

// ruleTo returns the function that maps the source address of traffic to a zone to
// the rule for the zone of the source.
func (f *Fleet) ruleTo(to Zone) func(netip.Addr) relayer.Rule {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	rules := map[string]relayer.Rule{}
	for _, from := range f.Spec.Zones {
		rule := f.linkRule(from, to)
		if from.Name != to.Name {
			rule.Cut = f.partitioned[from.Name] || f.partitioned[to.Name] || f.separated[[2]string{from.Name, to.Name}]
			rule.Freeze = f.frozen[from.Name] || f.frozen[to.Name]
			rule.Blackhole = f.blackholed[from.Name] || f.blackholed[to.Name]
		}
		rules[from.Name] = rule
	}
	return func(source netip.Addr) relayer.Rule {
		from, _ := f.Spec.zoneOf(source)
		return rules[from.Name]
	}
}

// linkRule returns the delay, jitter and loss between two zones. The caller must hold
// f.mutex.
func (f *Fleet) linkRule(from, to Zone) relayer.Rule {
	rule := relayer.Rule{Delay: f.Spec.delay(from, to)}
	if from.Name == to.Name {
		return rule
	}
	a, b := f.degraded[from.Name], f.degraded[to.Name]
	rule.Jitter = max(f.Spec.Jitter, a.Jitter, b.Jitter)
	rule.Loss = max(f.Spec.Loss, a.Loss, b.Loss)
	return rule
}
