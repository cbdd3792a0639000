// Package manager serves the operators' API, the announcements of the
// upstream beside the node, health, readiness and metrics.
package manager

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/go-kit/log"

	"sycamorerun"
	"sycamorerun/node/authenticator"
)

// Phase is the node's place in its life cycle.
type Phase string

// Phases of a node.
const (
	PhaseStarting Phase = "starting"
	PhaseReady    Phase = "ready"
	PhaseDraining Phase = "draining"
	PhaseStopped  Phase = "stopped"
)

// Status is the node's own state.
type Status struct {
	Phase    Phase
	Refused  uint64
	Fault    string
	Sessions int
	Members  int
	Watching bool
	// Unserved and Partial count the routes without upstreams.
	Unserved int
	Partial  int
}

// Target is a service of a route's split.
type Target struct {
	Service   string
	Share     float64
	Upstreams int
}

// Route is a route in force and whether its services have upstreams.
type Route struct {
	Path  sycamorerun.Path
	State string
	// Since is when the route came into a state other than served, zero when
	// that is not known.
	Since   time.Time
	Targets []Target
}

// Member is an instance with what failure detection says about it.
type Member struct {
	sycamorerun.Instance
	Suspect bool
}

// Proposal is a change that waits for review.
type Proposal struct {
	ID         string
	Team       string
	Operator   string
	Content    sycamorerun.Hash
	Time       time.Time
	Difference sycamorerun.Difference
}

// Laggard is a node that is behind the newest version.
type Laggard struct {
	Name    string
	Version sycamorerun.Version
	Since   time.Time
	Fault   string
}

// Convergence says which versions are in force on how many nodes.
type Convergence struct {
	Newest   sycamorerun.Version
	Nodes    int
	Silent   int
	Versions map[sycamorerun.Version]int
	Laggards []Laggard
}

// Query is a request to explain.
type Query struct {
	Method  string
	Host    string
	Path    string
	Headers map[string]string
}

// Candidate is an upstream that a call could go to.
type Candidate struct {
	Instance         string
	AvailabilityZone string
	State            sycamorerun.State
	Chance           float64
	Reason           string
}

// Explanation says which route and upstream a request would take.
type Explanation struct {
	Route      string
	Class      sycamorerun.Class
	Repeatable bool
	Steps      []string
	Candidates []Candidate
	// State is nil when no route matches.
	State *Route
}

// Announcement is what the upstream beside the node says about itself.
type Announcement struct {
	// ID names the upstream instance; it is empty in the operators' API.
	ID      string
	Service string
	Address netip.AddrPort
	State   sycamorerun.State
	Slots   int
	// Warmup is the time for which the upstream stays slow.
	Warmup time.Duration
	// Sequence and Boot order announcements, see announcer.Announcement.
	Sequence uint64
	Boot     int64
}

// Manager implements the services of the API. Set the fields before Handler.
type Manager struct {
	Name             string
	AvailabilityZone string
	Region           string
	Logger           log.Logger
	Metrics          http.Handler
	Now              func() time.Time

	Identify    func(token string) (authenticator.Identity, bool)
	Current     func() (sycamorerun.Tree, sycamorerun.Hash)
	Parse       func(text []byte) (team string, items map[sycamorerun.Path]sycamorerun.Item, faults []sycamorerun.Fault)
	Validate    func(items map[sycamorerun.Path]sycamorerun.Item) []sycamorerun.Fault
	Submit      func(ctx context.Context, change sycamorerun.Change) sycamorerun.Outcome
	Lookup      func(ctx context.Context, id string) (sycamorerun.Outcome, bool)
	Proposals   func(ctx context.Context, team string) ([]Proposal, error)
	History     func(ctx context.Context, team string, limit int) []sycamorerun.Entry
	Status      func() Status
	Members     func() []Member
	Routes      func() []Route
	Convergence func(ctx context.Context) (Convergence, error)
	Explain     func(query Query) Explanation
	Announce    func(announcement Announcement) error
}
