package runner

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"sycamorerun/node/deduplicator"
)

// Guards against a node that takes over keys before it knows another member of its
// service, which leaves the state of all keys unknown, and against a node that waits
// too long for members that don't exist.
func TestKeysWaitForMembers(t *testing.T) {
	const memberDelay = 100 * time.Millisecond
	cases := map[string]struct {
		members          bool
		minWait, maxWait time.Duration
	}{
		"first member later": {members: true, minWait: memberDelay, maxWait: firstMemberTimeout},
		"the only node":      {minWait: firstMemberTimeout, maxWait: joinTimeout},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			n := readyNode(t)
			start := time.Now()
			n.keys.Members = func() []deduplicator.Member {
				if c.members && time.Since(start) >= memberDelay {
					return []deduplicator.Member{{Name: "other"}}
				}
				return nil
			}
			n.waitForMember(context.Background())
			took := time.Since(start)
			is.True(took >= c.minWait)
			is.True(took <= c.maxWait)
		})
	}
	// A fleet without a version has run no calls with keys, so there is no wait.
	is := is.New(t)
	start := time.Now()
	readyNode(t).acquireKeys()
	is.True(time.Since(start) < firstMemberTimeout)
}
