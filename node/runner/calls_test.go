package runner

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sycamorerun"
	"sycamorerun/node/deduplicator"
	"sycamorerun/node/forwarder"
	"sycamorerun/node/registrar"
)

// TestRefusedAttempts guards against a caller that is told that its request did not run
// because its last attempt did not, although an earlier request with its key has.
func TestRefusedAttempts(t *testing.T) {
	const key = "s/k"
	first := forwarder.Claim{Key: key, Fingerprint: 1}
	cases := map[string]struct {
		prepare func(c *calls)
		claim   forwarder.Claim
		verdict sycamorerun.Verdict
		state   registrar.State
		// launched says that the attempt is handed to the upstream before the question.
		launched bool
	}{
		"new key, launched": {func(*calls) {}, first, sycamorerun.VerdictRun, registrar.StateStarted, true},
		"new key, claimed":  {func(*calls) {}, first, sycamorerun.VerdictRun, registrar.StateRefused, false},
		"key is running": {
			func(c *calls) { c.begin(time.Now(), first) }, first,
			sycamorerun.VerdictUncertain, registrar.StateFinished, false,
		},
		"key has been answered": {func(c *calls) {
			c.begin(time.Now(), first)
			c.deduplicator.Finish(time.Now(), deduplicatorKey(first), deduplicator.Result{Result: sycamorerun.Answered, Response: []byte("a")})
		}, first, sycamorerun.VerdictRecorded, registrar.StateFinished, false},
		"key of another request": {
			func(c *calls) { c.begin(time.Now(), first) },
			forwarder.Claim{Key: key, Fingerprint: 2},
			sycamorerun.VerdictMismatch, registrar.StateRefused, false,
		},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := &calls{registrar: registrar.New(registrar.Defaults), deduplicator: deduplicator.New(time.Now(), deduplicator.Defaults)}
			c.deduplicator.StartClean()
			c.registrar.OpenSession(1)
			test.prepare(c)
			test.claim.ID = sycamorerun.CallID{Session: 1, Sequence: 7}
			is.Equal(c.begin(time.Now(), test.claim).Verdict, test.verdict)
			is.True(!test.launched || c.registrar.Launch(test.claim.ID))
			is.Equal(c.registrar.Refuse(sycamorerun.Session{Number: 1}, 7), test.state)
			is.Equal(c.registrar.Launch(test.claim.ID), test.launched)
		})
	}
}
