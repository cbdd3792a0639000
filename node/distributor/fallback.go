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
	// parentSilenceTimeout is the time without a heartbeat from the parent in the
	// first tree after which a node uses other sources. Failure detection takes
	// about 9 s, longer than a change may take to be in force.
	parentSilenceTimeout = 2500 * time.Millisecond
	// fallbackPeers is the number of random peers asked in each period, so that
	// one responds in time even if others are silent too.
	fallbackPeers = 3
)

// parent is the node's parent in the first tree and its last heartbeat.
type parent struct {
	name          string
	lastHeartbeat time.Time
	// silentPeriods counts the periods since the parent became silent.
	silentPeriods uint
}

// update sets the parent from the links of the current plan. A new parent gets
// the full timeout from now on.
func (p *parent) update(now time.Time, links []planner.Link) {
	name := ""
	for _, link := range links {
		if link.Tree == 0 && link.Role == planner.RoleParent {
			name = link.Name
		}
	}
	if name != p.name {
		*p = parent{name: name, lastHeartbeat: now}
	}
}

func (p *parent) observeHeartbeat(now time.Time, peer string) {
	if peer == p.name {
		p.lastHeartbeat, p.silentPeriods = now, 0
	}
}

// fallbackSources reports whether to ask random peers and to read the store at
// now. The store is read in the silent periods 1, 2, 4, 8 and so on, which bounds
// its load when many nodes lose their parents at the same time.
func (p *parent) fallbackSources(now time.Time) (peers, store bool) {
	if p.name == "" || now.Sub(p.lastHeartbeat) < parentSilenceTimeout {
		return false, false
	}
	p.silentPeriods++
	return true, bits.OnesCount(p.silentPeriods) == 1
}

// fallBackToStore reads new versions from the store. The watchers of a document
// and the backup watchers skip the read: watchers receive all changes, and backup
// watchers probe the watchers.
func (d *Distributor) fallBackToStore(ctx context.Context) error {
	plan := d.Plan()
	switch {
	case d.Document == nil:
		return d.catchUpFromStore(ctx)
	case d.watchRole(plan) != planner.None || slices.Contains(plan.BackupWatchers, d.Self):
		return nil
	}
	return d.readDocument(ctx)
}

// runFallback fetches new versions from other sources while the parent is silent.
// Each subtree that is cut off from the watchers has a root whose parent is
// silent; that node fetches the version for its descendants.
func (d *Distributor) runFallback(ctx context.Context) {
	for sleep(ctx, gossipPeriod) {
		links := d.Plan().Links
		now := time.Now()
		d.mutex.Lock()
		d.parent.update(now, links)
		peers, store := d.parent.fallbackSources(now)
		d.mutex.Unlock()
		if peers {
			d.pullFromRandomPeers(ctx, fallbackPeers)
		}
		if !store {
			continue
		}
		go func() {
			if err := d.fallBackToStore(ctx); err != nil && ctx.Err() == nil {
				level.Debug(d.Logger).Log("msg", "store read failed while the parent is silent", "err", err)
			}
		}()
	}
}
