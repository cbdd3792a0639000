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

// budget is what one node may spend on a service. Calls fill a bucket of tokens
// with a fraction of a retry each; beyond these there are some retries in each
// window. In every window, also in one that begins when the calls have ended, the
// charges are at most what its calls earn, the tokens that a full bucket holds
// and those retries. The last two are the node's share of the slack. A count of
// the calls of the last window would let retries follow when there are no calls
// any more.
type budget struct {
	tokens float64
	beyond window
	begun  bool
}

func (b *budget) earn(tokens float64, share share) {
	b.begin(share)
	b.tokens = min(b.tokens+tokens, share.bucket())
}

// spend takes a retry, if there is one.
func (b *budget) spend(at int64, share share) bool {
	b.begin(share)
	b.tokens = min(b.tokens, share.bucket())
	switch {
	case b.tokens >= 1:
		b.tokens--
	case b.beyond.sum(at) < share.total+share.turn-share.total/2:
		b.beyond.add(at)
	default:
		return false
	}
	return true
}

func (b *budget) begin(share share) {
	if !b.begun {
		b.begun, b.tokens = true, float64(share.total/2)
	}
}

// share is a node's part of the slack: total always, turn in its turn.
type share struct{ total, turn int }

// bucket is the capacity of the bucket: half of the share, but one token at
// least, since a node could not use what its calls earn otherwise.
func (s share) bucket() float64 { return float64(max(1, s.total/2)) }

// share returns this node's share in whole numbers, although an equal share may
// be below one.
func (r *Retrier) share(now time.Time) share {
	count := r.members.largest(now, r.Members())
	slack := int(margin * r.Budget.Slack)
	result, rest := share{total: slack / count}, slack%count
	if r.Budget.Window <= 0 {
		return result
	}
	// The members agree on the turn only by the wall clock.
	window := float64(r.Budget.Window)
	turn, at := math.Modf(float64(now.UnixNano()) / (window * turnWindows))
	if at*turnWindows >= restWindows && (r.MemberIndex()+int(turn)*rest)%count < rest {
		result.turn = 1
	}
	return result
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
