package experimenter

// EventKind is the kind of an event.
type EventKind string

// Kinds of events.
const (
	// Load multiplies the request rate of the selected kinds by Factor.
	Load EventKind = "load"
	// Change submits a settings change at the interval Every.
	Change EventKind = "change"

	// Refuse, Stall, Lag, Lose and Stale are store faults. The store responds
	// with 503, does not respond, adds Delay, drops the response after executing
	// the call, or serves reads from the state at the start of the event. They
	// affect Share of the calls of the selected nodes.
	Refuse EventKind = "refuse"
	Stall  EventKind = "stall"
	Lag    EventKind = "lag"
	Lose   EventKind = "lose"
	Stale  EventKind = "stale"

	// Cut partitions the selected availability zones from all others and from
	// the store; they still reach each other. Freeze stalls their traffic with
	// others and keeps the connections open. Silence permanently stalls the
	// connections that are open, while new ones work. Degrade adds a jitter of
	// Delay and loses Share of the segments.
	Cut     EventKind = "cut"
	Freeze  EventKind = "freeze"
	Silence EventKind = "silence"
	Degrade EventKind = "degrade"

	// Pause suspends node processes. Kill terminates them with SIGKILL and
	// starts them again after For. Watchers pauses, in each region, a node that
	// is the primary watcher at the start of the event.
	Pause    EventKind = "pause"
	Kill     EventKind = "kill"
	Watchers EventKind = "watchers"
	// Roll is a rolling restart with SIGTERM in batches of Share of the selected
	// nodes. A batch starts when all nodes of the previous one are ready.
	Roll EventKind = "roll"

	// Slow, Shed, Silent and Drain are behaviors of the upstreams of the
	// selected nodes: they add Delay, reject every request, do not respond, or
	// announce that they are draining.
	Slow   EventKind = "slow"
	Shed   EventKind = "shed"
	Silent EventKind = "silent"
	Drain  EventKind = "drain"
	// Fail, Drop, Truncate, Surplus and Extra are upstream behaviors that affect
	// Share of the requests: status 500 while the health endpoint reports
	// healthy, execution without a response, a truncated response, extra bytes
	// after the response, and a duplicate response. Reset resets the connection
	// of each request that arrives while slots and queue are full. Hang never answers
	// such a request, nor a later one on its connection.
	Fail     EventKind = "fail"
	Drop     EventKind = "drop"
	Truncate EventKind = "truncate"
	Surplus  EventKind = "surplus"
	Extra    EventKind = "extra"
	Reset    EventKind = "reset"
	Hang     EventKind = "hang"
)

// fieldRules defines the fields of an event kind. All kinds have at, and on
// unless noSelection is set.
type fieldRules struct {
	// duration (the field for), factor, every and delay make the field of that
	// name required; share makes the field share optional.
	duration, factor, every, delay, share bool
	// selectsKinds means that on lists request kinds, selectsZones that it lists
	// availability zones or regions, and noSelection that on is not allowed.
	selectsKinds, selectsZones, noSelection bool
}

var eventRules = map[EventKind]fieldRules{
	Load:     {duration: true, factor: true, selectsKinds: true},
	Change:   {duration: true, every: true},
	Refuse:   {duration: true, share: true},
	Stall:    {duration: true, share: true},
	Lag:      {duration: true, delay: true, share: true},
	Lose:     {duration: true, share: true},
	Stale:    {duration: true, share: true},
	Cut:      {duration: true, selectsZones: true},
	Freeze:   {duration: true, selectsZones: true},
	Silence:  {selectsZones: true},
	Degrade:  {duration: true, delay: true, share: true, selectsZones: true},
	Pause:    {duration: true, share: true},
	Kill:     {duration: true, share: true},
	Watchers: {duration: true, noSelection: true},
	Roll:     {share: true},
	Slow:     {duration: true, delay: true, share: true},
	Shed:     {duration: true, share: true},
	Silent:   {duration: true, share: true},
	Drain:    {duration: true, share: true},
	Fail:     {duration: true, share: true},
	Drop:     {duration: true, share: true},
	Truncate: {duration: true, share: true},
	Surplus:  {duration: true, share: true},
	Extra:    {duration: true, share: true},
	Reset:    {duration: true},
	Hang:     {duration: true},
}

// IsStoreFault reports whether the event is a fault of the store.
func (k EventKind) IsStoreFault() bool {
	return k == Refuse || k == Stall || k == Lag || k == Lose || k == Stale
}

// IsNetworkFault reports whether the event is a network fault.
func (k EventKind) IsNetworkFault() bool {
	return k == Cut || k == Freeze || k == Silence || k == Degrade
}

// IsUpstreamBehavior reports whether the event is a behavior of upstreams.
func (k EventKind) IsUpstreamBehavior() bool {
	return k == Slow || k == Shed || k == Silent || k == Drain || k.IsRequestBehavior()
}

// IsRequestBehavior reports whether the event is a behavior of upstreams that
// affects single requests, so that Share, if allowed, applies to requests instead
// of nodes.
func (k EventKind) IsRequestBehavior() bool {
	return k == Fail || k == Drop || k == Truncate || k == Surplus || k == Extra || k == Reset || k == Hang
}

// IsFault reports whether plots mark the event as a fault, which holds for all
// kinds but load and settings changes.
func (k EventKind) IsFault() bool { return k != Load && k != Change }
