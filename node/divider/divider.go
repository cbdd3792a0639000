// Package divider divides an amount that the whole fleet may use among the
// members that may use it without asking each other.
package divider

import "time"

const (
	// UsableFraction is the fraction of a divided amount that the nodes use. The
	// rest covers nodes that temporarily see different members.
	UsableFraction = 0.8
	// Retention is the time for which the largest number of members counts, so
	// that a node that loses contact with the others does not take over their
	// shares at once.
	Retention = time.Minute
)

// PeakCount holds the largest number of members over the last one to two
// retention periods.
type PeakCount struct {
	current, previous int
	periodStart       time.Time
}

// Observe records the current number of members and returns the largest one.
func (p *PeakCount) Observe(now time.Time, count int) int {
	switch elapsed := now.Sub(p.periodStart); {
	case elapsed >= 2*Retention:
		p.previous, p.current, p.periodStart = 0, 0, now
	case elapsed >= Retention:
		p.previous, p.current, p.periodStart = p.current, 0, now
	}
	p.current = max(p.current, count, 1)
	return max(p.current, p.previous)
}

// Divide divides a number of units equally among count members in whole units. The
// remainder is less than count.
func Divide(units, count int) (share, remainder int) { return units / count, units % count }
