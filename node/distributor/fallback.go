package distributor

import (
	"context"
	"math/bits"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"sycamorerun/node/planner"
)

const (
	// parentSilence is the time without a heartbeat from the parent in the
	// first tree after which a node looks for other sources. Waiting until the
	// parent counts as failed takes about 9 s, more than a change may take to
	// be in force.
	parentSilence = 2500 * time.Millisecond
	// fallbackPeers is how many random peers are asked in each period, so that
	// an answer comes in time although some of them are silent as well.
	fallbackPeers = 3
)

// parent is the node's parent in the first tree and when it was last heard.
type parent struct {
	name  string
	heard time.Time
	// periods counts the periods of its silence.
	periods uint
}

// follow notes the parent of the plan in force. A new one starts as heard.
func (p *parent) follow(now time.Time, links []planner.Link) {
	name := ""
	for _, link := range links {
		if link.Tree == 0 && link.Role == planner.RoleParent {
			name = link.Name
		}
	}
	if name != p.name {
		*p = parent{name: name, heard: now}
	}
}

func (p *parent) hear(now time.Time, peer string) {
	if peer == p.name {
		p.heard, p.periods = now, 0
	}
}

// fallback says what to do at now: ask random peers, and read the store. The
// store is read in the periods 1, 2, 4, 8 and so on of a silence, which bounds
// its load when many nodes lose their parents at once.
func (p *parent) fallback(now time.Time) (peers, store bool) {
	if p.name == "" || now.Sub(p.heard) < parentSilence {
		return false, false
	}
	p.periods++
	return true, bits.OnesCount(p.periods) == 1
}

// fallbackStore reads the store for news. The document's watchers follow it
// anyway, and their deputies know whether one of them works.
func (d *Distributor) fallbackStore(ctx context.Context) error {
	plan := d.Plan()
	switch {
	case d.Document == nil:
		return d.checkStore(ctx)
	case d.watchRole(plan) != planner.None || slices.Contains(plan.BackupWatchers, d.Self):
		return nil
	}
	return d.readDocument(ctx)
}

// fallback looks for new versions elsewhere while the parent is silent. Each
// part of the fleet that is cut off from the watchers has a topmost node whose
// parent is silent, and that node brings the version to those below it.
func (d *Distributor) fallback(ctx context.Context) {
	for sleep(ctx, gossipPeriod) {
		links := d.Plan().Links
		now := time.Now()
		d.mutex.Lock()
		d.parent.follow(now, links)
		peers, store := d.parent.fallback(now)
		d.mutex.Unlock()
		if peers {
			d.askRandom(ctx, fallbackPeers)
		}
		if !store {
			continue
		}
		go func() {
			if err := d.fallbackStore(ctx); err != nil && ctx.Err() == nil {
				level.Debug(d.Logger).Log("msg", "store not read while the parent is silent", "err", err)
			}
		}()
	}
}
