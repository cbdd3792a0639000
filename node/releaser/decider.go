package releaser

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"sycamorerun"
	"sycamorerun/persister"
)

// Phase is the stored stage of a rollout. It only moves forward, in this order;
// from trial and taking it can move to rolled back.
type Phase string

// Phases of a rollout.
const (
	PhaseNone       Phase = ""
	PhaseTrial      Phase = "trial"
	PhaseTaking     Phase = "taking"
	PhaseCompleted  Phase = "completed"
	PhaseRolledBack Phase = "rolled-back"
)

// Record is what the store holds of a rollout beside its order.
type Record struct {
	Order uint64 `json:"order"`
	// Revision is that of the order when its trial began. An order that was read
	// before can't replace the record.
	Revision persister.Revision `json:"revision"`
	Release  string             `json:"release"`
	Phase    Phase              `json:"phase"`
	Started  time.Time          `json:"started"`
	Reason   string             `json:"reason,omitempty"`
}

const (
	// shareMargin is the part of the bound on exposed calls that is used. The rest
	// covers the retries of other nodes' calls and calls that the platform counts
	// otherwise.
	shareMargin = 0.9
	// judgePart is the part of the duration after which a release is taken, and
	// giveUpPart that after which one that is not is given up.
	judgePart  = 0.5
	giveUpPart = 0.75
	// warmAge is the age from which an upstream is tried, since one that has just
	// started is slow.
	warmAge = 3 * time.Second
	// minTrial is the shortest time for which a release is tried.
	minTrial = 3 * time.Second
	// rampPart is the part of the duration between two steps of the share while a
	// release is taken, at most maxRampStep.
	rampPart    = 1.0 / 20
	maxRampStep = time.Second
	// settlePart is the part of the duration for which calls in flight at the other
	// releases are waited for, at most maxSettle.
	settlePart = 0.25
	maxSettle  = 4 * time.Second
	// approveDelay is the time for which a release has to be seen, with a recent
	// view of the orders, before it gets calls without one.
	approveDelay = 2 * time.Second
	// orderLifetime is the age of the view of the orders after which nothing is
	// raised on its ground.
	orderLifetime = 4 * time.Second
	// recentWindow is the time over which recent outcomes are weighed, since a
	// release may fail only after a while.
	recentWindow = 3 * time.Second
	// minCapacity is the part of the slots of the other releases that the target
	// needs before it is taken.
	minCapacity = 0.8
	// minInstanceCalls and minCalls are the calls at each upstream in the trial, and
	// in total, without which a release is not taken.
	minInstanceCalls = 12
	minCalls         = 30
	// maxExcess is the share of bad calls beyond that of the other releases with
	// which a release is still taken.
	maxExcess = 0.03
	// maxBad is the number of bad calls beyond the usual at which a release is given
	// up, if their share exceeds that of the other releases by clearExcess.
	maxBad      = 30
	clearExcess = 0.1
	// rotatePeriod is the time after which other upstreams are tried.
	rotatePeriod = 2 * time.Second
	// resizePeriod is the time between two changes of the number of upstreams in the
	// trial.
	resizePeriod = 1500 * time.Millisecond
	// minTrialLoad and maxTrialLoad bound the part of the slots of the upstreams in the
	// trial that is used, so that a release that is bad under load shows.
	minTrialLoad = 0.6
	maxTrialLoad = 0.9
	// initialPart is the number of upstreams of which one is in the trial at first.
	initialPart = 10
	// minTested is the number of upstreams that a release is tried on before it is
	// taken, if it has as many.
	minTested = 3
	// minSuspects and maxSuspects are the number and the part of the tested upstreams
	// that have to do badly for the release to be the cause.
	minSuspects = 2
	maxSuspects = 0.4
	// reportLifetime is the age at which a report no longer says what its node does.
	reportLifetime = 3 * time.Second
)

// reasonLate is the reason to give up a release that is still tried late in the
// duration.
const reasonLate = "not enough outcomes or upstreams to take the release in time"

// rampShares are the shares of the calls while a release is taken.
var rampShares = []float64{0.4, 1}

// Decider decides about the rollouts of all services. It is not safe for concurrent
// use.
type Decider struct {
	// Share is the bound on the share of a service's calls that go to a release that
	// is tried.
	Share float64

	ordersAt time.Time
	rollouts map[string]*rollout
	releases map[string]*releases
}

// releases holds what the decider knows of the releases of a service.
type releases struct {
	seen    map[string]time.Time
	refused map[string]bool
}

// rollout is the state of one order.
type rollout struct {
	order  Order
	record Record
	// loaded is set once the record has been read or written.
	loaded     bool
	trialSince time.Time
	instances  []string
	arrangedAt time.Time
	// size is the number of upstreams in the trial.
	size      int
	resizedAt time.Time
	// loadedAt is when the upstreams in the trial got more calls for the last time.
	loadedAt time.Time
	dropped  map[string]bool
	takenAt  time.Time
	// rollBack is the reason for which the release is given up. Nothing goes to the
	// target from then on, whether the store can be written or not.
	rollBack string
	reports  map[string]nodeReport
	history  []snapshot
}

type nodeReport struct {
	at       time.Time
	progress *Progress
}

type snapshot struct {
	at   time.Time
	sums sums
}

// Step is a change that has to be stored before the decider acts on it.
type Step struct {
	Order  Order
	Record Record
	// From is the phase in which the step was decided. The step is void in another.
	From Phase
}

// NewDecider returns a Decider that knows no orders.
func NewDecider(share float64) *Decider {
	return &Decider{Share: share, rollouts: map[string]*rollout{}, releases: map[string]*releases{}}
}

// SetOrders replaces the orders by those that the store holds.
func (d *Decider) SetOrders(now time.Time, orders []Order) {
	d.ordersAt = now
	present := map[string]bool{}
	for _, o := range orders {
		if o.Fault != "" || o.Release == "" || present[o.Service] {
			continue
		}
		present[o.Service] = true
		d.known(o.Service)
		r, ok := d.rollouts[o.Service]
		if !ok || r.order.ID != o.ID {
			if ok {
				d.refuse(o.Service, r)
			}
			r = &rollout{dropped: map[string]bool{}, reports: map[string]nodeReport{}}
			d.rollouts[o.Service] = r
		}
		r.order = o
		switch o.State {
		case sycamorerun.RolloutCompleted:
			r.loaded, r.record.Phase = true, PhaseCompleted
		case sycamorerun.RolloutRolledBack:
			r.loaded, r.record.Phase = true, PhaseRolledBack
		}
	}
	for service, r := range d.rollouts {
		if !present[service] {
			d.refuse(service, r)
			delete(d.rollouts, service)
		}
	}
}

// refuse keeps the target of an order that is gone from getting calls as a regular
// release, unless it was taken.
func (d *Decider) refuse(service string, r *rollout) {
	if r.record.Phase != PhaseCompleted {
		d.known(service).refused[r.order.Release] = true
	}
}

// RenewOrders records that the store has confirmed the orders as unchanged.
func (d *Decider) RenewOrders(now time.Time) { d.ordersAt = now }

// current reports whether the view of the orders is recent.
func (d *Decider) current(now time.Time) bool {
	return !d.ordersAt.IsZero() && now.Sub(d.ordersAt) < orderLifetime
}

// Unloaded returns the orders whose records have to be read.
func (d *Decider) Unloaded() []Order {
	var orders []Order
	for _, r := range d.rollouts {
		if !r.loaded {
			orders = append(orders, r.order)
		}
	}
	return orders
}

// SetRecord sets the record that the store holds for an order; one of another order
// counts as none.
func (d *Decider) SetRecord(order Order, record Record) {
	r, ok := d.rollouts[order.Service]
	if !ok || r.order.ID != order.ID || r.order.ended() {
		return
	}
	if record.Order != order.ID {
		record = Record{}
	}
	if record.Phase == PhaseCompleted && r.record.Phase == PhaseTaking {
		// The records of the upstreams that stop now stay for some time.
		k := d.known(order.Service)
		for release := range k.seen {
			k.refused[release] = release != order.Release
		}
	}
	if record.Phase == PhaseTaking && r.rollBack == reasonLate {
		// Another decider had enough outcomes in time.
		r.rollBack = ""
	}
	r.loaded, r.record = true, record
}

func (d *Decider) known(service string) *releases {
	k, ok := d.releases[service]
	if !ok {
		k = &releases{seen: map[string]time.Time{}, refused: map[string]bool{}}
		d.releases[service] = k
	}
	return k
}

// Report records what a node has seen. The counts of a node add up since it learned
// of the order, so that a later decider knows them too.
func (d *Decider) Report(now time.Time, node string, progress []*Progress) {
	for _, p := range progress {
		if r, ok := d.rollouts[p.GetService()]; ok && p.GetOrder() == r.order.ID {
			r.reports[node] = nodeReport{now, p}
		}
	}
}

// states maps phases to the state of the order that is stored.
var states = map[Phase]sycamorerun.RolloutState{
	PhaseTrial: sycamorerun.RolloutActive, PhaseTaking: sycamorerun.RolloutActive,
	PhaseCompleted: sycamorerun.RolloutCompleted, PhaseRolledBack: sycamorerun.RolloutRolledBack,
}

// Step decides about all orders and returns the changes to store.
func (d *Decider) Step(now time.Time, members func(service string) []sycamorerun.Instance) []Step {
	for service, k := range d.releases {
		k.update(now, members(service))
	}
	var steps []Step
	for service, r := range d.rollouts {
		if !r.loaded || r.order.ended() {
			continue
		}
		next := d.stepRollout(now, r, members(service))
		if next.Phase != r.record.Phase || states[next.Phase] != r.order.State {
			steps = append(steps, Step{r.order, next, r.record.Phase})
		}
	}
	return steps
}

// update records when each release was first seen, and removes those that are gone.
func (k *releases) update(now time.Time, members []sycamorerun.Instance) {
	present := map[string]bool{}
	for _, m := range members {
		present[m.Release] = true
		if k.seen[m.Release].IsZero() {
			k.seen[m.Release] = now
		}
	}
	maps.DeleteFunc(k.seen, func(release string, _ time.Time) bool { return !present[release] })
	maps.DeleteFunc(k.refused, func(release string, _ bool) bool { return !present[release] })
}

// stepRollout returns the record that the rollout should have. The caller stores it
// if it differs, so that two deciders can't both move it.
func (d *Decider) stepRollout(now time.Time, r *rollout, members []sycamorerun.Instance) Record {
	next := r.record
	duration := time.Duration(r.order.Duration)
	switch r.record.Phase {
	case PhaseNone:
		return Record{Order: r.order.ID, Revision: r.order.Revision, Release: r.order.Release, Phase: PhaseTrial, Started: now}
	case PhaseTrial, PhaseTaking:
	default:
		return next
	}
	// A clock that was set back must not make the rollout younger than it is.
	elapsed := now.Sub(r.record.Started)
	r.update(now)
	total, recent := r.total(), r.recent(now)
	if r.rollBack == "" {
		r.rollBack = r.judge(total, recent)
	}
	if r.rollBack == "" && elapsed >= time.Duration(giveUpPart*float64(duration)) && r.record.Phase == PhaseTrial {
		r.rollBack = reasonLate
	}
	if r.rollBack != "" {
		next.Phase, next.Reason = PhaseRolledBack, r.rollBack
		return next
	}
	d.arrange(now, r, members)
	switch {
	case r.record.Phase == PhaseTrial && elapsed >= time.Duration(judgePart*float64(duration)) && r.good(now, total, len(members)/2) && hasCapacity(members, r.order.Release):
		next.Phase, next.Reason = PhaseTaking, "outcomes are as usual"
	case r.record.Phase == PhaseTaking && r.settled(now):
		next.Phase = PhaseCompleted
	}
	return next
}

// update adds a snapshot of all counters.
func (r *rollout) update(now time.Time) {
	if n := len(r.history); n > 0 && now.Sub(r.history[n-1].at) < reportPeriod/4 {
		return
	}
	r.history = append(r.history, snapshot{now, r.total()})
	for len(r.history) > 1 && now.Sub(r.history[1].at) >= recentWindow {
		r.history = r.history[1:]
	}
}

func (r *rollout) total() sums {
	total := sums{}
	for _, report := range r.reports {
		total.add(report.progress.GetTallies())
	}
	return total
}

// recent returns the counts of about the last recentWindow.
func (r *rollout) recent(now time.Time) sums {
	total := r.total()
	if len(r.history) == 0 || now.Sub(r.history[0].at) < recentWindow/2 {
		return total
	}
	return total.minus(r.history[0].sums)
}

// judge returns the reason to give up the release, or an empty string. Its upstreams
// are loaded one after the other. Some that do badly beside good ones only leave the
// trial, since their machines may be the cause.
func (r *rollout) judge(total, recent sums) string {
	suspects := total.suspects()
	maps.Copy(suspects, recent.suspects())
	byInstance, all := total.target()
	tested := 0
	for name, n := range byInstance {
		if n.all >= minInstanceCalls || suspects[name] {
			tested++
		}
	}
	if len(suspects) >= minSuspects && float64(len(suspects)) >= maxSuspects*float64(tested) {
		return "several of its upstreams fail or are slow more often than the other releases"
	}
	if len(suspects) < minSuspects || len(suspects)*minSuspects <= tested-len(suspects) {
		for name := range suspects {
			all = counts{all.all - byInstance[name].all, all.bad - byInstance[name].bad}
		}
	}
	usual := total.others().rate()
	if excess := float64(all.bad) - usual*float64(all.all); excess >= maxBad && all.rate() >= usual+clearExcess {
		return "it fails or is slow more often than the other releases"
	}
	for name := range suspects {
		r.dropped[name] = true
	}
	return ""
}

// arrange chooses the upstreams of the target that get calls, from all regions. They
// are so few that they are fully loaded, and others replace them after a while.
func (d *Decider) arrange(now time.Time, r *rollout, members []sycamorerun.Instance) {
	if r.record.Phase == PhaseTaking {
		if r.takenAt.IsZero() {
			r.takenAt = now
		}
		return
	}
	usable := map[string]sycamorerun.Instance{}
	for _, m := range members {
		if m.Release == r.order.Release && m.State == sycamorerun.StateReady && now.Sub(m.Since) >= warmAge && !r.dropped[m.Name] {
			usable[m.Name] = m
		}
	}
	rotate := now.Sub(r.arrangedAt) >= rotatePeriod
	r.instances = slices.DeleteFunc(r.instances, func(name string) bool { _, ok := usable[name]; return rotate || !ok })
	if len(usable) == 0 {
		return
	}
	d.resize(now, r, members)
	if r.trialSince.IsZero() {
		r.trialSince = now
	}
	if len(r.instances) == 0 {
		r.arrangedAt = now
	}
	regions := map[string]int{}
	for _, name := range r.instances {
		regions[usable[name].Region]++
		delete(usable, name)
	}
	byInstance, _ := r.total().target()
	for len(r.instances) < r.size && len(usable) > 0 {
		// The upstreams with the fewest calls come first.
		best := slices.MinFunc(slices.Collect(maps.Keys(usable)), func(a, b string) int {
			return cmp.Or(cmp.Compare(regions[usable[a].Region], regions[usable[b].Region]), cmp.Compare(byInstance[a].all, byInstance[b].all), cmp.Compare(a, b))
		})
		regions[usable[best].Region]++
		r.instances = append(r.instances, best)
		delete(usable, best)
	}
	r.instances = r.instances[:min(len(r.instances), r.size)]
}

// resize sets the number of upstreams in the trial so that the share of the calls loads
// them fully, but no more. The calls in flight are known only about a second later.
func (d *Decider) resize(now time.Time, r *rollout, members []sycamorerun.Instance) {
	if now.Sub(r.resizedAt) < resizePeriod {
		return
	}
	r.resizedAt = now
	slots, upstreams := 0, 0
	for _, m := range members {
		if m.Release != r.order.Release {
			upstreams++
		} else {
			slots = max(slots, m.Slots)
		}
	}
	most := max(1, upstreams/initialPart)
	running, others := 0, 0
	for _, report := range r.reports {
		if now.Sub(report.at) < reportLifetime {
			running += int(report.progress.GetRunning())
			others += int(report.progress.GetOthers())
		}
	}
	each := float64(running) / float64(max(1, r.size*slots))
	switch {
	case r.size == 0:
		r.size, r.loadedAt = most, now
		if others > 0 {
			r.size = min(most, int(math.Ceil(d.Share*float64(others)/(minTrialLoad*float64(max(1, slots))))))
		}
	case each > maxTrialLoad:
		r.size++
	case each < minTrialLoad && r.size > 1 && len(r.instances) == r.size:
		r.size--
		r.loadedAt = now
	}
	r.size = min(r.size, 2*most)
}

// good reports whether there are enough outcomes, as usual, to take the release.
func (r *rollout) good(now time.Time, total sums, upstreams int) bool {
	if r.trialSince.IsZero() || now.Sub(r.trialSince) < minTrial || now.Sub(r.loadedAt) < rotatePeriod || len(r.instances) == 0 {
		return false
	}
	byInstance, all := total.target()
	var tried counts
	tested := 0
	for name, n := range byInstance {
		if r.dropped[name] {
			continue
		}
		if n.all >= minInstanceCalls {
			tested++
		}
		tried = counts{tried.all + n.all, tried.bad + n.bad}
	}
	return tested >= min(minTested, upstreams) && all.all >= minCalls && tried.rate() <= total.others().rate()+maxExcess
}

// hasCapacity reports whether the ready upstreams of the release can carry the calls
// of the others.
func hasCapacity(members []sycamorerun.Instance, release string) bool {
	target, others := 0, 0
	for _, m := range members {
		switch {
		case m.Release != release && m.Serving():
			others += m.Slots
		case m.Release == release && m.State == sycamorerun.StateReady:
			target += m.Slots
		}
	}
	return float64(target) >= minCapacity*float64(others)
}

// settled reports whether no call is in flight at the other releases, so that they
// can stop.
func (r *rollout) settled(now time.Time) bool {
	duration := time.Duration(r.order.Duration)
	full := r.takenAt.Add(time.Duration(len(rampShares)-1) * r.rampStep())
	if r.takenAt.IsZero() || now.Before(full.Add(reportPeriod)) {
		return false
	}
	if now.Sub(full) >= reportPeriod+min(maxSettle, time.Duration(settlePart*float64(duration))) {
		return true
	}
	for _, report := range r.reports {
		recent := now.Sub(report.at) < reportLifetime
		if recent && (report.progress.GetShare() < 1 || report.progress.GetOthers() > 0) {
			return false
		}
	}
	return true
}

func (r *rollout) rampStep() time.Duration {
	return min(maxRampStep, time.Duration(rampPart*float64(r.order.Duration)))
}

// decide returns the decision about a service for the nodes, and whether there is
// one.
func (d *Decider) decide(now time.Time, service string, members []sycamorerun.Instance) (decision, bool) {
	k := d.known(service)
	k.update(now, members)
	result := decision{service: service}
	target := ""
	if r, ok := d.rollouts[service]; ok {
		result.order, result.target = r.order.ID, r.order.Release
		result.state, result.share = d.share(now, r)
		result.all, result.instances = result.share > d.Share, r.instances
		target = result.target
		if result.state == sycamorerun.RolloutCompleted {
			delete(k.refused, target)
			result.releases, target = []string{target}, ""
		}
	}
	if !d.current(now) {
		// A change of the orders may have been missed.
		return result, result.order != 0
	}
	alone := len(k.seen) == 1
	for release, seen := range k.seen {
		if release != target && !slices.Contains(result.releases, release) && !k.refused[release] && (alone || target != "" || now.Sub(seen) >= approveDelay) {
			result.releases = append(result.releases, release)
		}
	}
	slices.Sort(result.releases)
	return result, true
}

// share returns the state of a rollout and the share of the calls for its target.
func (d *Decider) share(now time.Time, r *rollout) (sycamorerun.RolloutState, float64) {
	switch {
	case r.record.Phase == PhaseCompleted:
		return sycamorerun.RolloutCompleted, 1
	case r.record.Phase == PhaseRolledBack, r.rollBack != "":
		return sycamorerun.RolloutRolledBack, 0
	case !r.loaded, r.record.Phase == PhaseNone, len(r.instances) == 0 && r.record.Phase == PhaseTrial:
		return sycamorerun.RolloutActive, 0
	case r.record.Phase == PhaseTaking && !r.takenAt.IsZero():
		step := int(now.Sub(r.takenAt) / max(1, r.rampStep()))
		return sycamorerun.RolloutActive, rampShares[min(max(0, step), len(rampShares)-1)]
	case !d.current(now):
		return sycamorerun.RolloutActive, 0
	}
	return sycamorerun.RolloutActive, shareMargin * d.Share
}

// summary returns the outcomes of a rollout for a log line.
func (d *Decider) summary(service string) string {
	r, ok := d.rollouts[service]
	if !ok {
		return ""
	}
	total := r.total()
	_, target := total.target()
	usual := total.others()
	var calls, exposed uint64
	for _, report := range r.reports {
		calls += report.progress.GetCalls()
		exposed += report.progress.GetExposed()
	}
	return fmt.Sprintf("target %d/%d bad, others %d/%d bad, exposed %d/%d calls, %d upstreams, %d nodes",
		target.bad, target.all, usual.bad, usual.all, exposed, calls, len(r.instances), len(r.reports))
}

// active returns the services whose rollouts have no outcome yet.
func (d *Decider) active() []string {
	var services []string
	for service, r := range d.rollouts {
		if !r.order.ended() {
			services = append(services, service)
		}
	}
	slices.Sort(services)
	return services
}

// unknown reports whether a service has got another release a short time ago for
// which there is no order.
func (d *Decider) unknown(now time.Time) bool {
	for service, k := range d.releases {
		if _, ordered := d.rollouts[service]; ordered || len(k.seen) < 2 {
			continue
		}
		for _, seen := range k.seen {
			if now.Sub(seen) < 2*approveDelay {
				return true
			}
		}
	}
	return false
}
