package deduplicator

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"sycamorerun"
)

// TestResultOutlivesFailedSend guards against the loss of a result that can't be sent
// when its request ends, as to a process that has its keys before the membership names
// it. Without the result, the key stays uncertain at its owner.
func TestResultOutlivesFailedSend(t *testing.T) {
	cases := map[string]struct {
		// handOver hands the key over from a while its request is running. The new
		// owner can't be reached after that. change ends this.
		handOver func(s *service)
		newOwner string
		change   func(s *service)
	}{
		"owner is announced later": {
			handOver: func(s *service) { s.startProcess("d"); s.join("d") },
			newOwner: "d",
			change:   func(s *service) { s.unreachable["d"] = false; s.announce() },
		},
		"owner leaves": {
			handOver: func(s *service) { s.startProcess("d"); s.join("d"); s.announce(); s.leave("a"); s.announce() },
			newOwner: "d",
			change:   func(s *service) { s.leave("d"); s.announce() },
		},
		"owner crashes": {
			handOver: func(s *service) { s.startProcess("d"); s.join("d"); s.announce(); s.leave("a"); s.announce() },
			newOwner: "d",
			change:   func(s *service) { s.crash("d"); s.announce() },
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newService("a", "b")
				s.exchangeTimeout = shortTimeout
				key := ""
				for n := 0; key == "" || Owner(key, []string{"a", "b"}) != "a" || Owner(key, []string{"a", "b", "d"}) != "d"; n++ {
					key = fmt.Sprint("key", n)
				}
				a := s.processes["a"]
				is.Equal(a.Records.Begin(s.now, "1", Key{Name: key}).Verdict, sycamorerun.VerdictRun)
				c.handOver(s)
				s.unreachable[c.newOwner] = true
				ctx, stop := context.WithCancel(t.Context())
				ended := make(chan error)
				go func() { ended <- a.Run(ctx) }()
				a.Records.Finish(s.now, "1", Key{Name: key}, answered)
				time.Sleep(150 * time.Millisecond)
				synctest.Wait()
				is.Equal(s.call(key).Verdict, sycamorerun.VerdictUncertain)
				c.change(s)
				time.Sleep(2 * time.Second)
				stop()
				is.NoErr(<-ended)
				is.Equal(s.call(key), sycamorerun.Decision{Verdict: sycamorerun.VerdictRecorded, Reason: ReasonRecorded, Response: []byte("four")})
				is.Equal(s.executed[key], 0) // only the request that a ran
			})
		})
	}
}
