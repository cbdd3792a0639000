package balancer

import (
	"math"
	"time"
)

const (
	// slowdownTimeConstant is the time in which a slowdown loses 63% of its weight.
	// Other work on the machine comes and goes many times a second.
	slowdownTimeConstant = 50 * time.Millisecond
	// maxSlowdownAge is the age from which a slowdown is ignored.
	maxSlowdownAge = 5 * slowdownTimeConstant
	// minSlowdown and maxSlowdown bound the effect of what an upstream states.
	minSlowdown = 1 / maxSpeed
	maxSlowdown = 5
)

// slowdown is what an upstream told of the speed of its machine.
type slowdown struct {
	value  float64
	toldAt time.Time
}

// recordSlowdown records the slowdown of a report, if it states one.
func (s *stats) recordSlowdown(now time.Time, report *Load) {
	if !(report.Slowdown > 0) || report.SlowdownAge < 0 {
		return
	}
	s.slowdown = slowdown{min(maxSlowdown, max(minSlowdown, report.Slowdown)), now.Add(-report.SlowdownAge)}
}

// at returns the slowdown to expect, which returns to one with the age of the report.
func (s slowdown) at(now time.Time) float64 {
	age := now.Sub(s.toldAt)
	if s.value == 0 || age >= maxSlowdownAge {
		return 1
	}
	return 1 + (s.value-1)*math.Exp(-float64(max(0, age))/float64(slowdownTimeConstant))
}

// applySlowdowns reduces the speeds of the candidates by their slowdowns.
func applySlowdowns(now time.Time, all []candidate) {
	for at := range all {
		if s := all[at].stats.slowdown; s.value != 0 {
			all[at].speed /= s.at(now)
		}
	}
}
