package deduplicator

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
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
				is.Equal(a.Records.Begin(s.now, Key{Name: key}).Verdict, sycamorerun.VerdictRun)
				c.handOver(s)
				s.unreachable[c.newOwner] = true
				ctx, stop := context.WithCancel(t.Context())
				ended := make(chan error)
				go func() { ended <- a.Run(ctx) }()
				a.Records.Finish(s.now, Key{Name: key}, answered)
				time.Sleep(150 * time.Millisecond)
				synctest.Wait()
				is.Equal(s.callAt(s.processes[c.newOwner], key).Verdict, sycamorerun.VerdictUncertain)
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

// TestResultRetriesAreBounded guards against retries without a delay, against results
// that are kept for longer than the record of their key, and against a member that
// can't be reached and thereby delays the results for another one or the end of the
// process.
func TestResultRetriesAreBounded(t *testing.T) {
	refuse := func(context.Context) (net.Conn, error) { return nil, net.ErrClosed }
	suspend := func(context.Context) (net.Conn, error) {
		client, _ := net.Pipe() // nobody reads what is written to it
		return client, nil
	}
	cases := map[string]struct {
		open func(context.Context) (net.Conn, error)
		// maxOpens bounds the attempts within 10 s: 5 within the first 1.55 s, then
		// one a second.
		maxOpens int64
	}{
		"refuses":   {refuse, 14},
		"suspended": {suspend, 7},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newService("a", "b", "c")
				a := s.processes["a"]
				keys, finish := map[string]string{}, map[string]func(){}
				for n := 0; len(keys) < 2; n++ {
					key := fmt.Sprint("key", n)
					owner := Owner(key, []string{"b", "c"})
					if keys[owner] != "" || Owner(key, []string{"a", "b", "c"}) != "a" {
						continue
					}
					keys[owner] = key
					is.Equal(a.Records.Begin(s.now, Key{Name: key}).Verdict, sycamorerun.VerdictRun)
					finish[owner] = func() { a.Records.Finish(s.now, Key{Name: key}, answered) }
				}
				is.True(s.leave("a"))
				s.announce()
				var opens atomic.Int64
				reachable := a.Open
				a.Open = func(ctx context.Context, to string) (net.Conn, Member, error) {
					if to == "b" {
						opens.Add(1)
						stream, err := c.open(ctx)
						return stream, s.processes["b"].member, err
					}
					return reachable(ctx, to)
				}
				ctx, stop := context.WithCancel(t.Context())
				ended := make(chan error)
				go func() { ended <- a.Run(ctx) }()

				finish["b"]()
				time.Sleep(5 * time.Second)
				finish["c"]()
				time.Sleep(maxResultRetryInterval + resultTimeout)
				is.Equal(s.call(keys["c"]).Verdict, sycamorerun.VerdictRecorded)
				time.Sleep(10*time.Second - 5*time.Second - maxResultRetryInterval - resultTimeout)
				is.True(opens.Load() > 3)
				is.True(opens.Load() <= c.maxOpens)

				const drainLimit = 250 * time.Millisecond
				drainCtx, cancel := context.WithTimeout(t.Context(), drainLimit)
				started := time.Now()
				a.SendResults(drainCtx)
				cancel()
				is.True(time.Since(started) <= drainLimit)

				stop()
				is.NoErr(<-ended)
				is.True(a.Records.hasUnsentResults())
				is.Equal(len(a.Records.DrainResults(s.now.Add(a.Records.limits.KeyTTL), true)), 0)
				is.True(!a.Records.hasUnsentResults())
			})
		})
	}
}

// TestResultOfReturnedKey guards against a result that is sent to an owner that has
// left although this process owns the key again, and against its loss if that owner
// returns.
func TestResultOfReturnedKey(t *testing.T) {
	is := is.New(t)
	s := newService("a", "b")
	key := ownedBy(s, "a")
	a, b := s.processes["a"], s.processes["b"]
	is.Equal(a.Records.Begin(s.now, Key{Name: key}).Verdict, sycamorerun.VerdictRun)
	is.True(s.leave("a"))
	s.announce()
	a.Records.Finish(s.now, Key{Name: key}, answered)
	is.True(s.join("a"))
	a.Records.SetMembers(s.now, []Member{a.member}, []Member{a.member})
	is.Equal(len(a.Records.DrainResults(s.now, true)), 0)
	a.Records.SetMembers(s.now, []Member{a.member, b.member}, []Member{a.member, b.member})
	is.Equal(len(a.Records.DrainResults(s.now, true)[b.member]), 1)
	is.True(!a.Records.hasUnsentResults())
}
