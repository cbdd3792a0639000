package balancer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sycamorerun"
)

// TestSpeed guards against equal shares for upstreams that differ in speed, against
// an upstream that gets no more calls because it was slow once, and against using
// the run times of one rank for another.
func TestSpeed(t *testing.T) {
	cases := map[string]struct {
		// run is the run time reported by one of three upstreams; the others report
		// 100 ms.
		run  time.Duration
		rank int
		age  time.Duration
		// least and most bound its number of picks out of 900; an equal share is 300.
		least, most int
	}{
		"slower":                 {run: 200 * time.Millisecond, rank: 2, most: 220},
		"faster":                 {run: 60 * time.Millisecond, rank: 2, least: 360, most: 800},
		"much slower":            {run: 5 * time.Second, rank: 2, most: 120},
		"slow some time ago":     {run: 5 * time.Second, rank: 2, age: runTimeTTL, least: 240, most: 360},
		"slow with another rank": {run: 5 * time.Second, rank: 3, least: 240, most: 360},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			members := newInstances("r1", "z1", 3)
			b := newBalancer(members)
			for at, m := range members {
				run := 100 * time.Millisecond
				if at == 0 {
					run = c.run
				}
				b.Observe(start, Observation{
					Instance: m.Name, Result: sycamorerun.Answered, Status: 200, Rank: c.rank,
					Load: &Load{Slots: 6, RunTime: run},
				})
			}
			now := start.Add(c.age)
			got := 0
			for range 900 {
				picked, ok := b.Pick(now, Query{Service: "s", Rank: 2})
				is.True(ok)
				if picked.Name == members[0].Name {
					got++
				}
				b.Observe(now, Observation{Instance: picked.Name, Result: sycamorerun.Answered, Status: 200, Rank: 2})
			}
			t.Logf("%d of 900", got)
			is.True(got >= c.least && got <= c.most)
		})
	}
}
