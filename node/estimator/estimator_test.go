package estimator

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a bound that cuts off usual calls, or that is so wide that it
// tells nothing.
func TestBound(t *testing.T) {
	const ms = time.Millisecond
	random := rand.New(rand.NewPCG(1, 2))
	cases := map[string]struct {
		draw       func() time.Duration
		maxBeyond  float64
		maxAverage time.Duration
	}{
		"constant":  {func() time.Duration { return 100 * ms }, 0, 110 * ms},
		"uniform":   {func() time.Duration { return 50*ms + time.Duration(random.Int64N(int64(100*ms))) }, 0.01, 250 * ms},
		"lognormal": {func() time.Duration { return time.Duration(100 * math.Exp(0.5*random.NormFloat64()) * float64(ms)) }, 0.05, 400 * ms},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := New()
			kind := Kind{Service: "s", Rank: 2}
			for range minCount - 1 {
				e.Record(kind, c.draw())
			}
			_, known := e.Bound(kind)
			is.True(!known)
			for range 100 {
				e.Record(kind, c.draw())
			}
			beyond, sum := 0, time.Duration(0)
			const calls = 10_000
			for range calls {
				bound, known := e.Bound(kind)
				is.True(known)
				sum += bound
				took := c.draw()
				if took > bound {
					beyond++
				}
				e.Record(kind, took)
			}
			t.Logf("%d of %d beyond the bound, average bound %s", beyond, calls, sum/calls)
			is.True(float64(beyond) <= c.maxBeyond*calls)
			is.True(sum/calls <= c.maxAverage)
			_, known = e.Bound(Kind{Service: "s", Rank: 3})
			is.True(!known)
		})
	}
}

// Guards against a bound that stays too short after calls have become slower.
func TestBoundAdapts(t *testing.T) {
	is := is.New(t)
	e := New()
	kind := Kind{Service: "s"}
	for range 100 {
		e.Record(kind, 100*time.Millisecond)
	}
	for range 3 {
		e.Record(kind, time.Second)
	}
	bound, _ := e.Bound(kind)
	is.True(bound >= time.Second)
}

// Guards against memory that grows with the number of kinds.
func TestKindsAreBounded(t *testing.T) {
	is := is.New(t)
	e := New()
	for i := range 2 * maxKinds {
		e.Record(Kind{Objective: time.Duration(i)}, time.Second)
	}
	is.Equal(len(e.kinds), maxKinds)
}
