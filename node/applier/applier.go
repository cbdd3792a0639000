// Package applier verifies, validates and compiles configuration versions, and puts
// them in force one at a time. Each version is applied atomically.
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

// Errors for errors.Is.
var (
	// ErrGap means that the entry is not based on the version in force. The caller
	// fetches the missing entries or a snapshot.
	ErrGap = errors.New("base version is not available")
	// ErrCorrupt means that the content does not match its hash. Another copy may
	// be intact.
	ErrCorrupt = errors.New("content does not match its hash")
	// ErrInvalid means that the version fails validation on this node. Another copy
	// would fail too.
	ErrInvalid = errors.New("version is invalid")
)

// State is a version in force. It is immutable.
type State struct {
	Tree  sycamorerun.Tree
	Hash  sycamorerun.Hash
	Table *router.Table
	// Since is the time when the version came into force on this node.
	Since time.Time
}

// Refusal describes a version that was refused.
type Refusal struct {
	Version sycamorerun.Version
	Time    time.Time
	Reason  string
	Faults  []sycamorerun.Fault
}

// Status summarizes the applier for the status page of the node.
type Status struct {
	Version sycamorerun.Version
	Hash    sycamorerun.Hash
	Since   time.Time
	// Refusal is the last refusal. It is nil once the refused version or a later one
	// is in force.
	Refusal *Refusal
	// Refused is the number of refusals.
	Refused int
}

// Applier holds the tree in force. Set its exported fields before use.
type Applier struct {
	// Validate returns the faults of a whole tree. If it is nil, all trees are valid.
	Validate func(items map[sycamorerun.Path]sycamorerun.Item) []sycamorerun.Fault
	// Changed is called after each version has come into force, in the order of
	// versions. It must not call Apply or Install.
	Changed func(State)
	Logger  log.Logger
	Scope   tally.Scope

	// mutex serializes writers. Readers of the state need no lock.
	mutex   sync.Mutex
	state   atomic.Pointer[State]
	refusal *Refusal
	refused int
}

// Current returns the state in force. Before the first version, it has version zero
// and an empty routing table.
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

// Apply applies an entry to the tree in force. It ignores an entry whose version is
// not newer than the version in force.
func (a *Applier) Apply(now time.Time, entry sycamorerun.Entry) error {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	current := a.Current()
	switch {
	case entry.Version <= current.Tree.Version:
		return nil
	case entry.BaseVersion() != current.Tree.Version:
		return errors.Wrapf(ErrGap, "entry of version %s is based on %s, but version %s is in force", entry.Version, entry.BaseVersion(), current.Tree.Version)
	}
	tree := differ.Apply(current.Tree, entry.Version, entry.Difference)
	return a.replace(now, tree, entry.Hash)
}

// Install replaces the tree in force by a whole tree. It ignores a tree whose
// version is not newer than the version in force.
func (a *Applier) Install(now time.Time, tree sycamorerun.Tree, hash sycamorerun.Hash) error {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if tree.Version <= a.Current().Tree.Version {
		return nil
	}
	return a.replace(now, tree.Clone(), hash)
}

// replace validates a tree and puts it in force. The state is stored only after all
// checks, so an error leaves the previous version in force.
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

// refuse records and logs the refusal of a version and returns its error.
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
		level.Error(a.Logger).Log("msg", "configuration version refused; the current version stays in force",
			"version", version, "current", a.Current().Tree.Version, "reason", reason, "faults", len(faults))
	}
	return errors.Wrapf(cause, "version %s: %s", version, reason)
}
