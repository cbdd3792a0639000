package runner

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"sycamorerun/node/deduplicator"
)

// Guards against a node that takes over keys before it has heard of the other
// members of its service, which leaves all of them unknown, and against one that
// waits for members that don't exist.
func TestKeysWaitForMembers(t *testing.T) {
	const met = 100 * time.Millisecond
	cases := map[string]struct {
		members     bool
		least, most time.Duration
	}{
		"first member later": {members: true, least: met, most: meetTimeout},
		"the only node":      {least: meetTimeout, most: joinTimeout},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			n := readyNode(t)
			began := time.Now()
			n.keys.Members = func() []deduplicator.Member {
				if c.members && time.Since(began) >= met {
					return []deduplicator.Member{{Name: "other"}}
				}
				return nil
			}
			n.awaitMember(context.Background())
			took := time.Since(began)
			is.True(took >= c.least)
			is.True(took <= c.most)
		})
	}
	// A fleet without a version has no calls whose keys could be taken over.
	is := is.New(t)
	began := time.Now()
	readyNode(t).takeKeys()
	is.True(time.Since(began) < meetTimeout)
}
