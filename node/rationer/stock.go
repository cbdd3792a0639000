package rationer

import (
	"math"
	"slices"
	"time"
)

const (
	// grantLifetime is the time for which a node may use granted tokens, from the
	// time at which it sent the report.
	grantLifetime = time.Second
	// stockRetention is the time after which the state of an unused account is deleted.
	stockRetention = time.Minute
	// settleMargin is the time before the expiry of a token up to which its use is
	// reported. An owner ignores reports that have taken longer.
	settleMargin = 300 * time.Millisecond
	// demandWeight is the weight of the newest period in the mean demand.
	demandWeight = 0.4
	// demandHeadroom is the number of standard deviations by which the tokens that a
	// node keeps exceed its mean demand, since requests do not arrive evenly.
	demandHeadroom = 2.0
	// minPeriods bounds the time over which the demand is measured from below, in
	// periods.
	minPeriods = 0.1
	// minDemand is the mean demand per period below which a node keeps no tokens.
	minDemand = 0.1
)

// batch holds tokens that were granted together.
type batch struct {
	tokens  int
	expires time.Time
	// used counts the tokens used since the last report, and epoch is that of the
	// owner that granted them.
	used  int
	epoch uint32
}

// stock is the state of one account at one node.
type stock struct {
	// batches is sorted by expiry.
	batches []batch
	// advanced counts the requests admitted without a token since the last report,
	// and reported those in a report that has not been answered yet.
	advanced, reported int
	// offered counts all requests since the last report.
	offered int
	// provided is the number of tokens after the last answer.
	provided int
	// demand is the mean number of requests per period.
	demand     float64
	reportedAt time.Time
	usedAt     time.Time
	// credit is the number of requests that the node may admit of its own share. It
	// grows only while no owner uses the share.
	credit     float64
	creditedAt time.Time
	// admitted and refused count the requests since the last update of the metrics.
	admitted, refused int64
}

// expire removes the batches that have expired.
func (s *stock) expire(now time.Time) {
	s.batches = slices.DeleteFunc(s.batches, func(b batch) bool { return b.tokens+b.used == 0 || !now.Before(b.expires) })
}

// take uses a token and reports whether there was one.
func (s *stock) take(now time.Time) bool {
	for i := range s.batches {
		if b := &s.batches[i]; b.tokens > 0 && now.Before(b.expires) {
			b.tokens--
			b.used++
			return true
		}
	}
	return false
}

// settle returns the number of tokens of the owner with the epoch given that were used
// since the last report. It leaves out tokens that the owner may count as expired by the
// time of the report.
func (s *stock) settle(now time.Time, epoch uint32) int {
	count := 0
	for i := range s.batches {
		b := &s.batches[i]
		if b.epoch == epoch && b.expires.Sub(now) >= settleMargin {
			count += b.used
		}
		b.used = 0
	}
	return count
}

// held returns the number of tokens.
func (s *stock) held() int {
	sum := 0
	for _, b := range s.batches {
		sum += b.tokens
	}
	return sum
}

// giveBack removes and counts the tokens that expire before the time given and those
// beyond the number to keep.
func (s *stock) giveBack(before time.Time, keep int) int {
	held := s.held()
	count := 0
	for i := range s.batches {
		b := &s.batches[i]
		surplus := b.tokens
		if !b.expires.Before(before) {
			surplus = min(surplus, max(0, held-count-keep))
		}
		b.tokens -= surplus
		count += surplus
	}
	return count
}

// accrue adds the node's own share since the last call, or since the time given if
// that is later, up to depth.
func (s *stock) accrue(now, since time.Time, rate, depth float64) {
	if s.creditedAt.Before(since) {
		s.creditedAt = since
	}
	if elapsed := now.Sub(s.creditedAt); elapsed > 0 {
		s.credit = min(s.credit+rate*elapsed.Seconds(), depth)
		s.creditedAt = now
	}
}

// spend takes a request from the node's own share and reports whether it covered it.
func (s *stock) spend() bool {
	if s.credit < 1 {
		return false
	}
	s.credit--
	return true
}

// measureDemand updates the mean demand with the requests since the last report. A
// sudden demand counts at once.
func (s *stock) measureDemand(now time.Time) {
	periods := 1.0
	if !s.reportedAt.IsZero() {
		periods = max(minPeriods, float64(now.Sub(s.reportedAt))/float64(reportPeriod))
	}
	keep := math.Pow(1-demandWeight, periods)
	s.demand = max(s.demand*keep+float64(s.offered)/periods*(1-keep), float64(s.offered)/max(1, periods))
	s.reportedAt = now
}

// target returns the number of requests for which the node is to be provided.
func (s *stock) target() int {
	if s.demand < minDemand {
		return 0
	}
	return int(math.Ceil(s.demand + demandHeadroom*math.Sqrt(s.demand)))
}

// unused reports whether the stock can be deleted.
func (s *stock) unused(now time.Time) bool {
	return now.Sub(s.usedAt) > stockRetention && s.advanced == 0 && s.reported == 0 && s.held() == 0
}
