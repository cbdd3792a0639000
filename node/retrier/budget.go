package retrier

import (
	"math"
	"time"
)

// Budget bounds the repetitions of each service's calls, summed over the fleet:
// in any Window at most Ratio per call and Slack beyond.
type Budget struct {
	// Ratio is negative for the service's own.
	Ratio  float64
	Window time.Duration
	Slack  float64
}

// DefaultBudget permits the services' ratios, and a few repetitions to services
// with few calls.
var DefaultBudget = Budget{Ratio: -1, Window: 10 * time.Second, Slack: 10}

const (
	// margin is the part of the budget that is used. The rest covers nodes that
	// see different members for a moment.
	margin = 0.8
	// membersLife is the time for which the largest number of members counts. A
	// node that loses sight of the others must not take their shares at once.
	membersLife = time.Minute
	// turnWindows is the length of a turn, in which the same members have the
	// repetition that the slack leaves after equal division, and restWindows the
	// part at its beginning in which nobody has it: the repetitions of the turn
	// before are in the window until then. The half window more covers clocks
	// that differ.
	turnWindows = 6
	restWindows = 1.5
)

// slack returns this node's share of the slack, a whole number: the sum over
// the members is at most the slack, although a share may be below one.
func (r *Retrier) slack(now time.Time) float64 {
	count := r.members.largest(now, r.Members())
	total := int(margin * r.Budget.Slack)
	share, rest := total/count, total%count
	if r.Budget.Window <= 0 {
		return float64(share)
	}
	// The members agree on the turn only by the wall clock.
	window := float64(r.Budget.Window)
	turn, at := math.Modf(float64(now.UnixNano()) / (window * turnWindows))
	if at*turnWindows >= restWindows && (r.Place()+int(turn)*rest)%count < rest {
		share++
	}
	return float64(share)
}

// members holds the largest number of members of the last one to two
// membersLife.
type members struct {
	current, previous int
	since             time.Time
}

func (m *members) largest(now time.Time, count int) int {
	switch passed := now.Sub(m.since); {
	case passed >= 2*membersLife:
		m.previous, m.current, m.since = 0, 0, now
	case passed >= membersLife:
		m.previous, m.current, m.since = m.current, 0, now
	}
	m.current = max(m.current, count, 1)
	return max(m.current, m.previous)
}
