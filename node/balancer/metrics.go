package balancer

import "github.com/uber-go/tally/v4"

// tierNames name the tiers in metrics.
var tierNames = [...]string{"zone", "region", "other"}

// metrics caches the counters, since a look-up in a tally scope takes locks and builds
// tag maps.
type metrics struct {
	picks [len(tierNames)]tally.Counter
	// explorations counts the calls to regions about which nothing is known, unsent
	// those for which no instance could be picked.
	explorations, unsent tally.Counter
}

func newMetrics(scope tally.Scope) *metrics {
	m := &metrics{explorations: scope.Counter("explorations"), unsent: scope.Counter("unsent")}
	for at, name := range tierNames {
		m.picks[at] = scope.Tagged(map[string]string{"distance": name}).Counter("picks")
	}
	return m
}
