package retrier

import (
	"math"
	"time"

	"sycamorerun/node/divider"
)

// Budget bounds the retries per service, summed over the fleet: within any Window at
// most Ratio per call plus Slack.
type Budget struct {
	// Ratio is the number of retries per call. If it is negative, the ratio set for
	// the service applies.
	Ratio  float64
	Window time.Duration
	Slack  float64
}

// DefaultBudget applies the ratios set for the services and permits a few retries to
// services with few calls.
var DefaultBudget = Budget{Ratio: -1, Window: 10 * time.Second, Slack: 10}

const (
	// rotationWindows is the length of a rotation period in windows. The slack that
	// remains after equal division goes to the same members during one period.
	rotationWindows = 6
	// rotationPauseWindows is the part of a rotation period at its beginning in
	// which no member gets the remainder, since the retries of the previous period
	// are still within the window. The additional half window covers differences
	// between clocks.
	rotationPauseWindows = 1.5
)

// budget is the retry budget of one node for a service. It is a token bucket that
// each call fills with a fraction of a retry, and a number of further retries per
// window. In every window, even one that begins after the calls have ended, the
// retries are at most the deposits of its calls, a full bucket and the further
// retries. The last two add up to the node's share of the slack. Counting the calls
// of the last window instead would permit retries after the calls have ended.
type budget struct {
	tokens float64
	// slackUsed counts the retries that were not covered by tokens.
	slackUsed   window
	initialized bool
}

func (b *budget) deposit(tokens float64, share slackShare) {
	b.initialize(share)
	b.tokens = min(b.tokens+tokens, share.bucketSize())
}

// withdraw takes one retry from the budget and reports whether there was one.
func (b *budget) withdraw(at int64, share slackShare) bool {
	b.initialize(share)
	b.tokens = min(b.tokens, share.bucketSize())
	switch {
	case b.tokens >= 1:
		b.tokens--
	case b.slackUsed.sum(at) < share.fixed+share.rotating-share.fixed/2:
		b.slackUsed.add(at)
	default:
		return false
	}
	return true
}

func (b *budget) initialize(share slackShare) {
	if !b.initialized {
		b.initialized, b.tokens = true, float64(share.fixed/2)
	}
}

// slackShare is a node's share of the slack: fixed retries at any time, and rotating
// ones in the rotation periods in which the node gets part of the remainder.
type slackShare struct{ fixed, rotating int }

// bucketSize returns the capacity of the token bucket. It is half of the share, but
// at least one token, since the deposits of calls would otherwise never add up to a
// retry.
func (s slackShare) bucketSize() float64 { return float64(max(1, s.fixed/2)) }

// slackShare returns this node's share of the slack in whole retries, although an
// equal share may be below one.
func (r *Retrier) slackShare(now time.Time) slackShare {
	count := r.peakMembers.Observe(now, r.Members())
	fixed, remainder := divider.Divide(int(divider.UsableFraction*r.Budget.Slack), count)
	result := slackShare{fixed: fixed}
	if r.Budget.Window <= 0 {
		return result
	}
	// The members derive the rotation period from the wall clock.
	window := float64(r.Budget.Window)
	period, position := math.Modf(float64(now.UnixNano()) / (window * rotationWindows))
	if position*rotationWindows >= rotationPauseWindows && (r.MemberIndex()+int(period)*remainder)%count < remainder {
		result.rotating = 1
	}
	return result
}
