package balancer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sycamorerun"
)

// Guards against equal shares for upstreams that differ in speed, against an
// upstream that gets no call any more because it was slow once, and against
// run times of one rank that count for another.
func TestSpeed(t *testing.T) {
	cases := map[string]struct {
		// run is the reported run time of one of three; the others report 100 ms.
		run  time.Duration
		rank int
		age  time.Duration
		// least and most bound its picks of 900; an equal share is 300.
		least, most int
	}{
		"slower":                 {run: 200 * time.Millisecond, rank: 2, most: 220},
		"faster":                 {run: 60 * time.Millisecond, rank: 2, least: 360, most: 800},
		"much slower":            {run: 5 * time.Second, rank: 2, most: 120},
		"slow some time ago":     {run: 5 * time.Second, rank: 2, age: runLife, least: 240, most: 360},
		"slow with another rank": {run: 5 * time.Second, rank: 3, least: 240, most: 360},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			members := group("r1", "z1", 3)
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
