package distributor

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sycamorerun/node/planner"
)

// TestFallback guards against a node that lacks new versions until its parent is
// detected as failed, against unnecessary requests to other peers, and against
// many nodes with silent parents that all read the store each second.
func TestFallback(t *testing.T) {
	start := time.Unix(1000, 0)
	links := []planner.Link{
		{Name: "other", Tree: 1, Role: planner.RoleParent},
		{Name: "child", Tree: 0, Role: planner.RoleChild},
		{Name: "up", Tree: 0, Role: planner.RoleParent},
	}
	cases := map[string]struct {
		links         []planner.Link
		heartbeatFrom string
		asks          int
		stores        int
	}{
		"silent parent":      {links, "", 8, 4},
		"parent heard":       {links, "up", 0, 0},
		"only a child heard": {links, "child", 8, 4},
		"no parent":          {links[:2], "", 0, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var p parent
			asks, stores := 0, 0
			for second := range 11 {
				now := start.Add(time.Duration(second) * time.Second)
				p.update(now, c.links)
				p.observeHeartbeat(now, c.heartbeatFrom)
				peers, store := p.fallbackSources(now)
				if peers {
					asks++
				}
				if store {
					stores++
				}
			}
			is.Equal(asks, c.asks)
			is.Equal(stores, c.stores)
		})
	}
}

// TestNewParentIsNotSilent guards against a new parent that counts as silent before
// it could send a heartbeat.
func TestNewParentIsNotSilent(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	p := parent{name: "old", lastHeartbeat: start.Add(-time.Hour), silentPeriods: 7}
	p.update(start, []planner.Link{{Name: "new", Tree: 0, Role: planner.RoleParent}})
	peers, store := p.fallbackSources(start.Add(time.Second))
	is.Equal(peers, false)
	is.Equal(store, false)
	is.Equal(p.silentPeriods, uint(0))
}
