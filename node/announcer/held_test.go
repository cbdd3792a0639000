package announcer

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestHoldDuringPause guards against the use of an upstream whose departure an earlier
// process confirmed, after its node was paused with a late announcement unread: the
// time for which an announcement can be late passes while the process runs.
func TestHoldDuringPause(t *testing.T) {
	cases := map[string]struct {
		// checks is the time in which the process checks its upstream, pause that in
		// which it stands still afterwards.
		checks, pause time.Duration
		want          Outcome
	}{
		"no pause":                {checks: departureRetention - time.Second, want: Held},
		"paused":                  {checks: time.Second, pause: departureRetention, want: Held},
		"paused for an hour":      {checks: time.Second, pause: time.Hour, want: Held},
		"ran longer than any one": {checks: departureRetention, want: Accepted},
		"and was paused":          {checks: departureRetention, pause: time.Hour, want: Accepted},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			a := New(func() time.Duration { return period })
			now := start
			a.Hold(now)
			for end := start.Add(c.checks); now.Before(end); {
				now = now.Add(100 * time.Millisecond)
				a.Expire(now)
			}
			in := step{id: "a", boot: 5, seq: 1}.announcement()
			is.New(t).Equal(a.Announce(now.Add(c.pause), in), c.want)
		})
	}
}
