package forwarder

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestSlowdown guards against passing on an odd slowdown, one that the upstream told
// some time ago, or none at all.
func TestSlowdown(t *testing.T) {
	cases := map[string]struct {
		value float64
		ok    bool
		age   time.Duration
		want  uint32
	}{
		"slow":         {2.5, true, 30 * time.Millisecond, 250},
		"fast":         {0.8, true, 0, 80},
		"none":         {0, false, 0, 0},
		"negative":     {-3, true, 0, 0},
		"not a number": {math.NaN(), true, 0, 0},
		"infinite":     {math.Inf(1), true, 0, 100 * maxSlowdown},
		"huge":         {1e12, true, 0, 100 * maxSlowdown},
		"tiny":         {1e-12, true, 0, 1},
		"old":          {2.5, true, maxSlowdownAge, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := New("n")
			f.Contract.ParseSlowdown = func(string) (float64, bool) { return c.value, c.ok }
			now := time.Unix(1000, 0)
			f.recordSlowdown(now, "1,2,3")
			load := &Load{}
			f.AddSlowdown(now.Add(c.age), load)
			is.Equal(load.GetSlowdown(), c.want)
			if c.want > 0 {
				is.Equal(load.GetSlowdownAgeMs(), uint32(c.age.Milliseconds()))
			}
		})
	}
}
