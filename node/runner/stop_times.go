package runner

import "time"

const (
	// minStopTimeout leaves enough time beyond stopMargin for the peers to learn
	// that the node is leaving.
	minStopTimeout = 2 * time.Second
	// drainParts is the number of parts of the time for calls. Each of the drain
	// delay and the time in which callers are still served takes one part at most,
	// so that at least one is left for the calls in flight.
	drainParts = 3
)

// stopTimes divides the time that a stop may take, StopTimeout. The rest beyond
// drain is stopMargin.
type stopTimes struct {
	// delay is the time in which calls are taken as before, linger the time after
	// it in which callers are still served.
	delay, linger time.Duration
	// drain is the time until the last calls in flight are ended.
	drain time.Duration
}

func newStopTimes(s *Settings) stopTimes {
	drain := s.StopTimeout - stopMargin
	delay := min(s.DrainDelay, drain/drainParts)
	return stopTimes{delay: delay, linger: (drain - delay) / drainParts, drain: drain}
}
