package tracker

import "github.com/uber-go/tally/v4"

type metrics struct {
	members, suspects, links, unreachableZones tally.Gauge
	unreachablePeers, exchanges, refutations   tally.Counter
	invalidFrames                              tally.Counter
}

func newMetrics(scope tally.Scope) *metrics {
	scope = scope.SubScope("tracker")
	return &metrics{
		members:          scope.Gauge("members"),
		suspects:         scope.Gauge("suspects"),
		links:            scope.Gauge("links"),
		unreachableZones: scope.Gauge("unreachable_zones"),
		unreachablePeers: scope.Counter("unreachable_peers"),
		exchanges:        scope.Counter("exchanges"),
		refutations:      scope.Counter("refutations"),
		invalidFrames:    scope.Counter("invalid_frames"),
	}
}
