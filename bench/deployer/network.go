package deployer

import (
	"net/netip"

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

// Heal ends all partitions and freezes.
func (f *Fleet) Heal() {
	f.mutex.Lock()
	clear(f.cut)
	clear(f.frozen)
	clear(f.apart)
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
		rule := relayer.Rule{Cut: f.cut[name] || f.apart[[2]string{name, f.Spec.Zones[0].Name}], Freeze: f.frozen[name]}
		f.mutex.Unlock()
		for _, zone := range f.Spec.Zones {
			if zone.Name == name {
				// The store is in the first zone's region.
				rule.Delay = f.Spec.delay(zone, f.Spec.Zones[0])
			}
		}
		relay.Apply(func(netip.Addr) relayer.Rule { return rule })
	}
}

// ruleTo returns what happens to traffic towards a zone, by the source's zone.
func (f *Fleet) ruleTo(to Zone) func(netip.Addr) relayer.Rule {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	rules := map[string]relayer.Rule{}
	for _, from := range f.Spec.Zones {
		rule := relayer.Rule{Delay: f.Spec.delay(from, to)}
		if from.Name != to.Name {
			rule.Cut = f.cut[from.Name] || f.cut[to.Name] || f.apart[[2]string{from.Name, to.Name}]
			rule.Freeze = f.frozen[from.Name] || f.frozen[to.Name]
		}
		rules[from.Name] = rule
	}
	return func(source netip.Addr) relayer.Rule {
		from, _ := f.Spec.zoneOf(source)
		return rules[from.Name]
	}
}
