package caller

import (
	"fmt"
	"iter"
	"math/rand/v2"
	"slices"
	"time"
)

// leaveDefault bounds the time to an early disconnection where the kind has no
// limit of its own.
const leaveDefault = time.Second

// request is one request as planned.
type request struct {
	id    string
	due   time.Duration
	entry int
	hasty bool
	// leave is the time from its first attempt to the disconnection, 0 if the
	// caller stays.
	leave time.Duration
}

// entries returns the nodes that a kind uses.
func (c *Generator) entries(kind Kind) []Entry {
	if len(kind.Zones) == 0 {
		return c.Entries
	}
	return slices.DeleteFunc(slices.Clone(c.Entries), func(e Entry) bool { return !slices.Contains(kind.Zones, e.Zone) })
}

// rate returns the rate of a kind at a time.
func (c *Generator) rate(kind Kind, at time.Duration) float64 {
	rate := kind.Rate
	for _, burst := range c.Bursts {
		if (burst.Kind == "" || burst.Kind == kind.Name) && at >= burst.At && at < burst.At+burst.For {
			rate *= burst.Factor
		}
	}
	return rate
}

// change returns the next time after at at which a burst begins or ends.
func (c *Generator) change(at, end time.Duration) time.Duration {
	next := end
	for _, burst := range c.Bursts {
		for _, edge := range []time.Duration{burst.At, burst.At + burst.For} {
			if edge > at && edge < next {
				next = edge
			}
		}
	}
	return next
}

// schedule returns the requests of the kind with a number. The times between
// them are exponentially distributed, as those of independent callers. The
// seed, the kinds and the bursts fix all of it.
func (c *Generator) schedule(number int, duration time.Duration) iter.Seq[request] {
	kind := c.Kinds[number]
	entries := len(c.entries(kind))
	return func(yield func(request) bool) {
		random := rand.New(rand.NewPCG(c.Seed, uint64(number)))
		at, count := time.Duration(0), 0
		// share is the part of the way to the next request that is left: a change
		// of the rate in between stretches or shortens it.
		share := random.ExpFloat64()
		for at < duration {
			rate, edge := c.rate(kind, at), c.change(at, duration)
			passed := (edge - at).Seconds() * rate
			if share > passed || rate == 0 {
				share -= passed
				at = edge
				continue
			}
			at += max(1, time.Duration(share/rate*float64(time.Second)))
			next := request{id: fmt.Sprintf("%s%s-%d", c.Name, kind.Name, count), due: at, entry: random.IntN(entries)}
			if kind.Marker {
				next.entry = count % entries // Each node is asked equally often.
			}
			next.hasty = random.Float64() < kind.ImmediateRetryShare
			if random.Float64() < kind.DisconnectShare {
				limit := kind.limit()
				if limit == 0 {
					limit = leaveDefault
				}
				next.leave = max(1, time.Duration(random.Float64()*float64(limit)))
			}
			share = random.ExpFloat64()
			count++
			if !yield(next) {
				return
			}
		}
	}
}
