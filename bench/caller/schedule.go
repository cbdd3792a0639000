package caller

import (
	"fmt"
	"iter"
	"math/rand/v2"
	"slices"
	"time"
)

// defaultDisconnectLimit bounds the time to an early disconnection for kinds
// without a limit.
const defaultDisconnectLimit = time.Second

// plannedRequest is one request of the schedule.
type plannedRequest struct {
	id             string
	due            time.Duration
	entry          int
	immediateRetry bool
	// disconnectAfter is the time from the start of the first attempt until the
	// caller disconnects, or 0 if the caller waits for the response.
	disconnectAfter time.Duration
}

// entries returns the nodes that receive the requests of a kind.
func (c *Generator) entries(kind Kind) []Entry {
	if len(kind.Zones) == 0 {
		return c.Entries
	}
	return slices.DeleteFunc(slices.Clone(c.Entries), func(e Entry) bool { return !slices.Contains(kind.Zones, e.Zone) })
}

// rate returns the request rate of a kind at a time of the run.
func (c *Generator) rate(kind Kind, at time.Duration) float64 {
	rate := kind.Rate
	for _, burst := range c.Bursts {
		if (burst.Kind == "" || burst.Kind == kind.Name) && at >= burst.At && at < burst.At+burst.For {
			rate *= burst.Factor
		}
	}
	return rate
}

// nextRateChange returns the first time after at when a burst begins or ends, at
// most end.
func (c *Generator) nextRateChange(at, end time.Duration) time.Duration {
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

// schedule returns the requests of the kind with a number. Their interarrival
// times are exponentially distributed, as those of independent callers. The
// schedule depends only on the seed, the kinds and the bursts.
func (c *Generator) schedule(number int, duration time.Duration) iter.Seq[plannedRequest] {
	kind := c.Kinds[number]
	entries := len(c.entries(kind))
	return func(yield func(plannedRequest) bool) {
		random := rand.New(rand.NewPCG(c.Seed, uint64(number)))
		at, count := time.Duration(0), 0
		// remaining is the rest of the interarrival time in units of its mean, so that
		// a change of the rate stretches or shortens it.
		remaining := random.ExpFloat64()
		for at < duration {
			rate, edge := c.rate(kind, at), c.nextRateChange(at, duration)
			beforeEdge := (edge - at).Seconds() * rate
			if remaining > beforeEdge || rate == 0 {
				remaining -= beforeEdge
				at = edge
				continue
			}
			at += max(1, time.Duration(remaining/rate*float64(time.Second)))
			planned := plannedRequest{id: fmt.Sprintf("%s%s-%d", c.Name, kind.Name, count), due: at, entry: random.IntN(entries)}
			if kind.Marker {
				planned.entry = count % entries // Each node gets the same number of requests.
			}
			planned.immediateRetry = random.Float64() < kind.ImmediateRetryShare
			if random.Float64() < kind.DisconnectShare {
				limit := kind.limit()
				if limit == 0 {
					limit = defaultDisconnectLimit
				}
				planned.disconnectAfter = max(1, time.Duration(random.Float64()*float64(limit)))
			}
			remaining = random.ExpFloat64()
			count++
			if !yield(planned) {
				return
			}
		}
	}
}
