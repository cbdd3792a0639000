// Package applier verifies, validates and compiles configuration versions and
// puts them in force one at a time, each in full or not at all.
package applier

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"sycamorerun"
	"sycamorerun/differ"
	"sycamorerun/node/router"
)

// Errors that callers tell apart with errors.Is.
var (
	// ErrGap means that versions between the current one and the entry's are
	// missing; the caller fetches them or a snapshot.
	ErrGap = errors.New("versions are missing before the entry")
	// ErrCorrupt means that the content does not have the hash it claims;
	// another copy may be good.
	ErrCorrupt = errors.New("content does not match its hash")
	// ErrInvalid means that the version breaks a rule on this node; another
	// copy would too.
	ErrInvalid = errors.New("version is invalid")
)

// State is one version in force. It is immutable.
type State struct {
	Tree  sycamorerun.Tree
	Hash  sycamorerun.Hash
	Table *router.Table
	// Since is when the version came into force on this node.
	Since time.Time
}

// Refusal is the last version that was not put in force.
type Refusal struct {
	Version sycamorerun.Version
	Time    time.Time
	Reason  string
	Faults  []sycamorerun.Fault
}

// Status is a summary for the node's status page.
type Status struct {
	Version sycamorerun.Version
	Hash    sycamorerun.Hash
	Since   time.Time
	// Refusal is nil once a version at or above the refused one is in force.
	Refusal *Refusal
	Refused int
}

// Applier owns the tree in force. Its exported fields are set before use.
type Applier struct {
	// Validate returns the faults of a whole tree; nil accepts every tree.
	Validate func(items map[sycamorerun.Path]sycamorerun.Item) []sycamorerun.Fault
	// Changed is called after each new version, in the order of versions. It
	// must not call Apply or Install.
	Changed func(State)
	Logger  log.Logger
	Scope   tally.Scope

	// mutex serialises writers; readers use state alone.
	mutex   sync.Mutex
	state   atomic.Pointer[State]
	refusal *Refusal
	refused int
}

// Current returns the state in force; before the first version, it is version
// zero with an empty table.
func (a *Applier) Current() *State {
	if state := a.state.Load(); state != nil {
		return state
	}
	return initial
}

var initial = func() *State {
	table, _ := router.Compile(sycamorerun.Tree{})
	return &State{Hash: differ.Hash(nil), Table: table}
}()

// Status returns a summary of the state in force and the last refusal.
func (a *Applier) Status() Status {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	current := a.Current()
	return Status{
		Version: current.Tree.Version, Hash: current.Hash, Since: current.Since,
		Refusal: a.refusal, Refused: a.refused,
	}
}

// Apply puts entry in force on top of the current version. An entry at or
// below the current version is ignored.
func (a *Applier) Apply(now time.Time, entry sycamorerun.Entry) error {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	current := a.Current()
	switch {
	case entry.Version <= current.Tree.Version:
		return nil
	case entry.BaseVersion() != current.Tree.Version:
		return errors.Wrapf(ErrGap, "version %s on top of %s after %s", entry.Version, entry.BaseVersion(), current.Tree.Version)
	}
	tree := differ.Apply(current.Tree, entry.Version, entry.Difference)
	return a.replace(now, tree, entry.Hash)
}

// Install puts a whole tree in force. A tree at or below the current version
// is ignored.
func (a *Applier) Install(now time.Time, tree sycamorerun.Tree, hash sycamorerun.Hash) error {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if tree.Version <= a.Current().Tree.Version {
		return nil
	}
	return a.replace(now, tree.Clone(), hash)
}

// replace checks tree and swaps it in. The only write to the state is the last
// step, so that an error leaves the previous version in force.
func (a *Applier) replace(now time.Time, tree sycamorerun.Tree, hash sycamorerun.Hash) error {
	if differ.Hash(tree.Items) != hash {
		return a.refuse(now, tree.Version, ErrCorrupt, nil)
	}
	if a.Validate != nil {
		if faults := a.Validate(tree.Items); len(faults) > 0 {
			return a.refuse(now, tree.Version, ErrInvalid, faults)
		}
	}
	table, faults := router.Recompile(a.Current().Table, tree)
	if len(faults) > 0 {
		return a.refuse(now, tree.Version, ErrInvalid, faults)
	}
	state := &State{Tree: tree, Hash: hash, Table: table, Since: now}
	a.state.Store(state)
	if a.refusal != nil && a.refusal.Version <= tree.Version {
		a.refusal = nil
	}
	if a.Scope != nil {
		a.Scope.Counter("applier_applied").Inc(1)
		a.Scope.Gauge("applier_version").Update(float64(tree.Version))
	}
	if a.Changed != nil {
		a.Changed(*state)
	}
	return nil
}

func (a *Applier) refuse(now time.Time, version sycamorerun.Version, cause error, faults []sycamorerun.Fault) error {
	reason := cause.Error()
	if len(faults) > 0 {
		reason = fmt.Sprintf("%s: %s: %s", reason, faults[0].Path, faults[0].Reason)
	}
	a.refusal = &Refusal{Version: version, Time: now, Reason: reason, Faults: faults}
	a.refused++
	if a.Scope != nil {
		a.Scope.Counter("applier_refused").Inc(1)
	}
	if a.Logger != nil {
		level.Error(a.Logger).Log("msg", "version refused; the previous one stays in force",
			"version", version, "current", a.Current().Tree.Version, "reason", reason, "faults", len(faults))
	}
	return errors.Wrapf(cause, "version %s: %s", version, reason)
}
