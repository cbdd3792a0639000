package tracker

import "github.com/uber-go/tally/v4"

type metrics struct {
	members, suspects, links, zones    tally.Gauge
	unreachable, exchanges, refutation tally.Counter
	invalid                            tally.Counter
}

func newMetrics(scope tally.Scope) *metrics {
	scope = scope.SubScope("tracker")
	return &metrics{
		members:     scope.Gauge("members"),
		suspects:    scope.Gauge("suspects"),
		links:       scope.Gauge("links"),
		zones:       scope.Gauge("unreachable_zones"),
		unreachable: scope.Counter("unreachable_peers"),
		exchanges:   scope.Counter("exchanges"),
		refutation:  scope.Counter("refutations"),
		invalid:     scope.Counter("invalid_frames"),
	}
}
