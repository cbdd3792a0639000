package experimenter

// Action is the kind of an event.
type Action string

// Kinds of events.
const (
	// Load multiplies the rate of kinds of requests by Factor.
	Load Action = "load"
	// Change lets operators write a version every Every.
	Change Action = "change"

	// Refuse, Stall, Lag, Lose and Stale are faults of the store: it answers 503,
	// answers nothing, takes Delay longer, loses responses after the effect, and
	// answers reads from the state at the start of the event. They hit Share of
	// the calls of the selected nodes.
	Refuse Action = "refuse"
	Stall  Action = "stall"
	Lag    Action = "lag"
	Lose   Action = "lose"
	Stale  Action = "stale"

	// Cut separates the selected availability zones from all others and from
	// the store; they still reach each other. Freeze stops their traffic with
	// others, with open connections, and Silence that of the open connections
	// for good, while new ones work. Degrade adds a jitter of Delay, and loses
	// Share of the segments.
	Cut     Action = "cut"
	Freeze  Action = "freeze"
	Silence Action = "silence"
	Degrade Action = "degrade"

	// Pause suspends the processes of nodes, Kill ends them at once and starts
	// them again after For, and Watchers pauses a node that is the
	// primary watcher of its region at the start of the event, in each region.
	Pause    Action = "pause"
	Kill     Action = "kill"
	Watchers Action = "watchers"
	// Roll restarts the selected nodes with SIGTERM, Share of them at a time,
	// the next ones when the last ones are ready.
	Roll Action = "roll"

	// Slow, Shed, Silent and Drain are behaviors of the upstreams beside the
	// selected nodes: they take Delay longer, refuse everything, answer nothing,
	// and announce that they leave.
	Slow   Action = "slow"
	Shed   Action = "shed"
	Silent Action = "silent"
	Drain  Action = "drain"
	// Fail, Drop, Truncate, Surplus, Extra and Reset are behaviors that hit Share
	// of the requests: status 500 with a good health endpoint, a run without
	// response, a part of the response, bytes after it, the response twice, and
	// a connection reset when slots and queue are full.
	Fail     Action = "fail"
	Drop     Action = "drop"
	Truncate Action = "truncate"
	Surplus  Action = "surplus"
	Extra    Action = "extra"
	Reset    Action = "reset"
)

// use says which fields an event of a kind has. Each also has at and on.
type use struct {
	// span, factor, every and delay are required where they are true, share
	// is allowed.
	span, factor, every, delay, share bool
	// kinds says that on names kinds of requests, zones that it names
	// availability zones or regions, and none that there is no choice.
	kinds, zones, none bool
}

var actions = map[Action]use{
	Load:     {span: true, factor: true, kinds: true},
	Change:   {span: true, every: true},
	Refuse:   {span: true, share: true},
	Stall:    {span: true, share: true},
	Lag:      {span: true, delay: true, share: true},
	Lose:     {span: true, share: true},
	Stale:    {span: true, share: true},
	Cut:      {span: true, zones: true},
	Freeze:   {span: true, zones: true},
	Silence:  {zones: true},
	Degrade:  {span: true, delay: true, share: true, zones: true},
	Pause:    {span: true, share: true},
	Kill:     {span: true, share: true},
	Watchers: {span: true, none: true},
	Roll:     {share: true},
	Slow:     {span: true, delay: true, share: true},
	Shed:     {span: true, share: true},
	Silent:   {span: true, share: true},
	Drain:    {span: true, share: true},
	Fail:     {span: true, share: true},
	Drop:     {span: true, share: true},
	Truncate: {span: true, share: true},
	Surplus:  {span: true, share: true},
	Extra:    {span: true, share: true},
	Reset:    {span: true},
}

// Store reports whether the event is a fault of the store.
func (a Action) Store() bool {
	return a == Refuse || a == Stall || a == Lag || a == Lose || a == Stale
}

// Link reports whether the event is one of the network.
func (a Action) Link() bool {
	return a == Cut || a == Freeze || a == Silence || a == Degrade
}

// Upstream reports whether the event is a behavior of upstreams.
func (a Action) Upstream() bool {
	return a == Slow || a == Shed || a == Silent || a == Drain || a.Requests()
}

// Requests reports whether the event is a behavior of upstreams whose share is
// that of the requests.
func (a Action) Requests() bool {
	return a == Fail || a == Drop || a == Truncate || a == Surplus || a == Extra || a == Reset
}

// Fault reports whether the event is one to mark in plots, other than the load
// and the changes themselves.
func (a Action) Fault() bool { return a != Load && a != Change }
