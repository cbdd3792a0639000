package forwarder

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a call that is retried after a refusal but counts as new, and
// against another call for the same target that counts as a retry.
func TestRefusalCache(t *testing.T) {
	start := time.Unix(1000, 0)
	first := call{method: "GET", host: "a.example", target: "/x", arrived: start, callerDeadline: start.Add(2 * time.Second)}
	cases := map[string]struct {
		change func(c *call)
		after  time.Duration
		want   bool
	}{
		"comes back":             {want: true},
		"with less time":         {change: func(c *call) { c.callerDeadline = c.callerDeadline.Add(-time.Second) }, want: true},
		"rounded up":             {change: func(c *call) { c.callerDeadline = c.callerDeadline.Add(deadlineTolerance) }, want: true},
		"with more time":         {change: func(c *call) { c.callerDeadline = c.callerDeadline.Add(time.Second) }},
		"without a deadline":     {change: func(c *call) { c.callerDeadline = time.Time{} }},
		"another target":         {change: func(c *call) { c.target = "/y" }},
		"another method":         {change: func(c *call) { c.method = "POST" }},
		"another host":           {change: func(c *call) { c.host = "b.example" }},
		"another account":        {change: func(c *call) { c.match.Account = "court" }},
		"after the first's time": {after: 2 * time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newRefusalCache()
			refused := first
			r.add(start, &refused)
			next, now := first, start.Add(time.Second+c.after)
			next.arrived = now
			if c.change != nil {
				c.change(&next)
			}
			arrived, ok := r.takeArrival(now, &next)
			is.Equal(ok, c.want)
			if ok {
				is.Equal(arrived, start)
				_, ok = r.takeArrival(now, &next)
				is.True(!ok) // each refusal counts for one retry
			}
		})
	}
	is := is.New(t)
	r := newRefusalCache()
	for n := range 2 * maxRefusedCalls {
		c := first
		c.target = string(rune(n))
		r.add(start, &c)
	}
	is.Equal(len(r.calls), maxRefusedCalls)
}
