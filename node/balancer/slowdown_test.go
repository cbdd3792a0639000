package balancer

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"sycamorerun"
)

// TestSlowdown guards against calls to upstreams whose machines are slow at the moment
// although a fresh report says so, and against the use of reports that are too old.
// Each machine is 2.5 times as slow as usual for 90 of 600 ms.
func TestSlowdown(t *testing.T) {
	const work = 20 * time.Millisecond
	cases := map[string]struct {
		// gap is the time between two calls, with reports or without them.
		gap         time.Duration
		least, most float64 // bounds of the mean time relative to that without reports
	}{
		"each 2 ms":   {2 * time.Millisecond, 0, 0.93},
		"each 10 ms":  {10 * time.Millisecond, 0, 0.99},
		"each 500 ms": {500 * time.Millisecond, 0.97, 1.03},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			mean := func(told bool) float64 {
				instances := newInstances("r1", "z1", 6)
				b := newBalancer(instances)
				var total float64
				const calls = 20000
				for n := range calls {
					now := start.Add(time.Duration(n) * c.gap)
					picked, _ := b.Pick(now, Query{Service: "s"})
					slow := 1.0
					phase := (time.Duration(n)*c.gap + time.Duration(picked.Name[4]-'0')*137*time.Millisecond) % (600 * time.Millisecond)
					if phase < 90*time.Millisecond {
						slow = 2.5
					}
					total += slow * float64(work)
					load := &Load{Slots: 6}
					if told {
						load.Slowdown = slow
					}
					b.Observe(now, Observation{Instance: picked.Name, Result: sycamorerun.Answered, Status: 200, Load: load})
				}
				return total / calls
			}
			relative := mean(true) / mean(false)
			t.Logf("mean time %.3f of that without reports", relative)
			is.True(relative >= c.least && relative <= c.most)
		})
	}
}

// TestOddSlowdown guards against an upstream that gets no calls, or all of them, for an
// impossible slowdown.
func TestOddSlowdown(t *testing.T) {
	for name, value := range map[string]float64{
		"negative": -5, "not a number": math.NaN(), "infinite": math.Inf(1), "tiny": 1e-9, "huge": 1e9,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBalancer(newInstances("r1", "z1", 4))
			b.Observe(start, Observation{Instance: "r1z10", Result: sycamorerun.Answered, Status: 200, Load: &Load{Slots: 6, Slowdown: value}})
			counts := countPicks(b, start, 400, func(string) Observation { return Observation{Result: sycamorerun.Answered, Status: 200} })
			is.True(counts["r1z10"] <= 280)
			is.True(b.stats["r1z10"].slowdown.at(start) <= maxSlowdown)
		})
	}
}
