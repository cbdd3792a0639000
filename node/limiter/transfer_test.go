package limiter

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against bodies in transfer that take all slots, and against a slow caller
// that stops the transfers of the others.
func TestTransfers(t *testing.T) {
	cases := map[string]struct {
		// finish ends one of the first transfers.
		finish func(received chan struct{}, release func())
	}{
		"received":          {func(received chan struct{}, _ func()) { close(received) }},
		"ended before that": {func(_ chan struct{}, release func()) { release() }},
		"slow":              {func(chan struct{}, func()) { time.Sleep(maxTransferTime) }},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				l := New(Limits{Slots: 8, Queue: 8})
				streamed := func() (*pendingCall, chan struct{}) {
					received := make(chan struct{})
					call := &pendingCall{done: make(chan struct{})}
					go func() {
						defer close(call.done)
						call.release, call.refusal = l.Acquire(t.Context(), time.Now(), Request{Rank: interactive, BodyReceived: received})
					}()
					synctest.Wait()
					return call, received
				}
				first, received := streamed()
				second, _ := streamed()
				third, _ := streamed()
				is.Equal(l.Load(), Load{Running: 2, Queued: 1, Slots: 8})
				release, refusal := l.Acquire(t.Context(), time.Now(), Request{Rank: background})
				is.Equal(refusal, Refusal{}) // it needs no transfer
				is.Equal(l.Load().Queued, 1)
				is.Equal(first.wait(), "")
				c.finish(received, first.release)
				is.Equal(third.wait(), "")
				is.Equal(l.Load().Queued, 0)
				first.release()
				second.release()
				third.release()
				release()
				synctest.Wait()
				is.Equal(l.transfers, 0)
				is.Equal(l.Load(), Load{Slots: 8})
			})
		})
	}
}
