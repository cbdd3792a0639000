// Package manager serves the operators' API, the announcements of the upstream beside
// the node, the health and readiness probes and the metrics.
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

// Phase is a phase of the node's life cycle.
type Phase string

// Phases of a node, in their order.
const (
	PhaseStarting Phase = "starting"
	PhaseReady    Phase = "ready"
	PhaseDraining Phase = "draining"
	PhaseStopped  Phase = "stopped"
)

// Status describes the state of this node.
type Status struct {
	Phase Phase
	// Refused is the number of versions that this node refused since its start.
	// Fault describes the last refusal, until that version or a later one is in force.
	Refused  uint64
	Fault    string
	Sessions int
	Members  int
	// Watching is set if this node watches the store.
	Watching bool
	// Unserved and Partial count the routes that have no upstream for all or some
	// of their calls.
	Unserved int
	Partial  int
}

// Target is a service in the traffic split of a route.
type Target struct {
	Service string
	// Share is the fraction of the route's calls that go to the service.
	Share float64
	// Upstreams is the number of the service's upstreams that accept calls.
	Upstreams int
}

// Route is a route in force and the state of its services.
type Route struct {
	Path  sycamorerun.Path
	State string
	// Since is the time when the route entered its state. It is zero if the route is
	// served or the time is unknown.
	Since   time.Time
	Targets []Target
}

// Account is a client account in force.
type Account struct {
	sycamorerun.Account
	Name string
}

// Member is an instance and the verdict of the failure detector.
type Member struct {
	sycamorerun.Instance
	Suspect bool
}

// Proposal is a change that waits for a review.
type Proposal struct {
	ID         string
	Team       string
	Operator   string
	Content    sycamorerun.Hash
	Time       time.Time
	Difference sycamorerun.Difference
}

// Laggard is a node whose version in force is older than the newest one.
type Laggard struct {
	Name    string
	Version sycamorerun.Version
	// Since is the time since when the node has been behind.
	Since time.Time
	Fault string
}

// Convergence describes how many nodes have which version.
type Convergence struct {
	Newest sycamorerun.Version
	// Nodes is the number of nodes that responded, and Silent the number of live
	// members that did not.
	Nodes  int
	Silent int
	// Versions counts the nodes by their version in force.
	Versions map[sycamorerun.Version]int
	Laggards []Laggard
}

// Query describes a request whose routing is explained.
type Query struct {
	Method  string
	Host    string
	Path    string
	Headers map[string]string
}

// Candidate is an upstream that can receive the call.
type Candidate struct {
	Instance         string
	AvailabilityZone string
	State            sycamorerun.State
	// Chance is the probability, 0 to 1, that the next call goes to the instance.
	Chance float64
	Reason string
}

// Explanation describes the routing of a request.
type Explanation struct {
	Route      string
	Class      sycamorerun.Class
	Repeatable bool
	Steps      []string
	Candidates []Candidate
	// State is nil if no route matches.
	State *Route
}

// Announcement describes the upstream beside the node, which sends it.
type Announcement struct {
	// ID identifies the upstream instance. It is empty in the operators' API.
	ID      string
	Service string
	Address netip.AddrPort
	State   sycamorerun.State
	Slots   int
	// Release is the release of the upstream's software, or empty.
	Release string
	// Warmup is the remaining time of the slow start.
	Warmup time.Duration
	// Sequence and Boot define the order of announcements, see
	// announcer.Announcement.
	Sequence uint64
	Boot     int64
}

// Manager implements the services of the API. Its fields must be set before Handler is
// called.
type Manager struct {
	Name             string
	AvailabilityZone string
	Region           string
	Logger           log.Logger
	Metrics          http.Handler
	Now              func() time.Time

	// Identify returns the identity of the holder of a token.
	Identify func(token string) (authenticator.Identity, bool)
	// Current returns the tree in force and its hash.
	Current func() (sycamorerun.Tree, sycamorerun.Hash)
	// Parse parses a settings file.
	Parse func(text []byte) (team string, items map[sycamorerun.Path]sycamorerun.Item, faults []sycamorerun.Fault)
	// Validate returns the faults of the items of a whole tree.
	Validate  func(items map[sycamorerun.Path]sycamorerun.Item) []sycamorerun.Fault
	Submit    func(ctx context.Context, change sycamorerun.Change) sycamorerun.Outcome
	Lookup    func(ctx context.Context, id string) (sycamorerun.Outcome, bool)
	Proposals func(ctx context.Context, team string) ([]Proposal, error)
	History   func(ctx context.Context, team string, limit int) []sycamorerun.Entry
	Status    func() Status
	Members   func() []Member
	Routes    func() []Route
	// Accounts returns the client accounts in force, sorted by name.
	Accounts    func() []Account
	Convergence func(ctx context.Context) (Convergence, error)
	Explain     func(query Query) Explanation
	Announce    func(announcement Announcement) error
}
