package releaser

import (
	"slices"
	"sync"
	"time"

	"sycamorerun"
)

// Attempt is the outcome of an attempt at an instance.
type Attempt struct {
	Service   string
	Instance  string
	Rank      int
	Objective time.Duration
	// Failed is set if the upstream answered with an error or not at all.
	Failed bool
	// Ignored is set if the outcome says nothing about the upstream.
	Ignored bool
	Took    time.Duration
}

// startupWindow is the time from the start of a node in which it may know no
// member of a service but itself.
const startupWindow = 3 * time.Second

const (
	// maxOutnumber is the number of upstreams for each approved one above which the
	// others get calls without a decision. A rollout starts as many upstreams as there
	// are, so that most have been restarted then, and the rest could not carry the calls.
	maxOutnumber = 3
	// maxCredit bounds the attempts at the target in a row.
	maxCredit = 2
	// creditError is the rounding error of the credit.
	creditError = 1e-9
)

// Gate decides which releases of a service a call of this node may use.
type Gate struct {
	// Self is the name of this node, and Started the time of its start.
	Self    string
	Started time.Time

	mutex    sync.Mutex
	services map[string]*gateService
	flights  map[string]*flight
}

// gateService is the state of a service at one node.
type gateService struct {
	decision decision
	// at is when the decision arrived; it is zero if there was none.
	at time.Time
	// approved lists the releases that the service is known to run regularly.
	approved []string
	// calls and exposed count the calls since the node learned of the order, and
	// the attempts at the target among them.
	calls, exposed uint64
	// credit is the number of attempts at the target that are paid for.
	credit   float64
	evidence evidence
}

// flight counts the attempts in flight at an instance.
type flight struct {
	service, release string
	count            int
}

// NewGate returns a Gate of the named node that knows no decisions.
func NewGate(now time.Time, self string) *Gate {
	return &Gate{Self: self, Started: now, services: map[string]*gateService{}, flights: map[string]*flight{}}
}

func (g *Gate) service(name string) *gateService {
	s, ok := g.services[name]
	if !ok {
		s = &gateService{evidence: evidence{}}
		g.services[name] = s
	}
	return s
}

// mixed reports whether the serving instances have several releases.
func mixed(instances []sycamorerun.Instance) bool {
	return len(instances) > 1 && slices.ContainsFunc(instances, func(i sycamorerun.Instance) bool {
		return i.Release != instances[0].Release
	})
}

// fresh reports whether the node still acts on its last decision.
func (s *gateService) fresh(now time.Time) bool {
	return !s.at.IsZero() && now.Sub(s.at) < decisionLifetime
}

// regular returns the instances that get calls without a bound.
func (g *Gate) regular(now time.Time, s *gateService, instances []sycamorerun.Instance) []sycamorerun.Instance {
	if s.at.IsZero() && len(instances) == 1 && instances[0].Name == g.Self && now.Sub(g.Started) < startupWindow {
		return nil
	}
	if !mixed(instances) && (len(instances) == 0 || instances[0].Release != s.refused()) {
		return instances
	}
	approved := filter(instances, func(i sycamorerun.Instance) bool { return slices.Contains(s.approved, i.Release) })
	if len(approved) > 0 && (s.refused() != "" || len(approved)*maxOutnumber >= len(instances)) {
		return approved
	}
	if len(approved) > 0 {
		return instances
	}
	// A node that has just started takes the release of the upstream that has run
	// longest, since that of a rollout starts beside the old ones.
	release, ok := oldest(instances, s.refused())
	return filter(instances, func(i sycamorerun.Instance) bool { return ok && i.Release == release })
}

// refused returns the release that the last decision bounds, or an empty string.
func (s *gateService) refused() string {
	if s.decision.state == sycamorerun.RolloutCompleted || s.decision.order == 0 {
		return ""
	}
	return s.decision.target
}

// trial returns the instances of the release that is tried that get calls.
func (s *gateService) trial(now time.Time, instances []sycamorerun.Instance) []sycamorerun.Instance {
	if !s.fresh(now) || s.decision.state != sycamorerun.RolloutActive || s.decision.share <= 0 {
		return nil
	}
	return filter(instances, func(i sycamorerun.Instance) bool {
		return i.Release == s.decision.target && (s.decision.all || slices.Contains(s.decision.instances, i.Name))
	})
}

// allows adds the share of one call to the credit and reports whether an attempt at
// the target is paid for. The attempts of a node so never exceed the share of its
// calls, and a node that could not use its share does not catch up at once.
func (s *gateService) allows() bool {
	s.credit = min(s.credit+s.decision.share, maxCredit)
	return s.credit >= 1-creditError
}

// Pick calls choose with the instances that a call may use, and once more with the
// regular ones if none of those of the release that is tried can be chosen. A
// retry uses the release that is tried only once that gets all calls.
func (g *Gate) Pick(now time.Time, service string, retry bool, instances []sycamorerun.Instance, choose func([]sycamorerun.Instance) (sycamorerun.Instance, bool)) (sycamorerun.Instance, bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	s := g.service(service)
	tried := s.trial(now, instances)
	if len(tried) > 0 && (s.decision.share >= 1 || !retry && s.allows()) {
		if chosen, ok := choose(tried); ok {
			if !retry {
				s.calls++
			}
			s.exposed++
			s.credit = max(0, s.credit-1)
			g.depart(service, chosen)
			return chosen, true
		}
	}
	chosen, ok := choose(g.regular(now, s, instances))
	if ok {
		if !retry {
			s.calls++
		}
		g.depart(service, chosen)
	}
	return chosen, ok
}

// Usable returns the instances that a retry may use.
func (g *Gate) Usable(now time.Time, service string, instances []sycamorerun.Instance) []sycamorerun.Instance {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	s := g.service(service)
	if tried := s.trial(now, instances); len(tried) > 0 && s.decision.share >= 1 {
		return tried
	}
	return g.regular(now, s, instances)
}

func (g *Gate) depart(service string, to sycamorerun.Instance) {
	f, ok := g.flights[to.Name]
	if !ok {
		f = &flight{}
		g.flights[to.Name] = f
	}
	f.service, f.release = service, to.Release
	f.count++
}

// Observe records the end of an attempt at an instance that Pick returned.
func (g *Gate) Observe(a Attempt) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	f, ok := g.flights[a.Instance]
	if !ok {
		return
	}
	if f.count--; f.count <= 0 {
		delete(g.flights, a.Instance)
	}
	s := g.service(a.Service)
	if a.Ignored || s.decision.order == 0 {
		return
	}
	s.evidence.add(a, f.release == s.decision.target)
}

// Update applies the decisions that arrived from the decider.
func (g *Gate) Update(now time.Time, decisions []decision) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for _, next := range decisions {
		s := g.service(next.service)
		if next.order != s.decision.order {
			s.calls, s.exposed, s.credit, s.evidence = 0, 0, 0, evidence{}
		}
		s.decision, s.at = next, now
		if len(next.releases) > 0 {
			s.approved = next.releases
		}
	}
}

// Learn approves the release of each service that runs a single one. It returns the
// services that the node has to ask the decider about.
func (g *Gate) Learn(services map[string][]sycamorerun.Instance) []string {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	var ask []string
	for name, instances := range services {
		s := g.service(name)
		switch {
		case mixed(instances) || s.at.IsZero():
			ask = append(ask, name)
		case len(instances) > 0 && instances[0].Release == s.refused():
			// The rollout may have ended since the last decision.
			ask = append(ask, name)
		case len(instances) > 0:
			s.approved = []string{instances[0].Release}
		}
	}
	slices.Sort(ask)
	return ask
}

// Progress returns the report about the given services.
func (g *Gate) Progress(now time.Time, services []string) []*Progress {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	var all []*Progress
	for _, name := range services {
		s := g.service(name)
		p := &Progress{Service: name, Order: s.decision.order, Calls: s.calls, Exposed: s.exposed, Tallies: s.evidence.tallies()}
		if s.fresh(now) {
			p.Share = s.decision.share
		}
		for _, f := range g.flights {
			switch {
			case f.service != name:
			case f.release != s.decision.target:
				p.Others += uint32(f.count)
			default:
				p.Running += uint32(f.count)
			}
		}
		all = append(all, p)
	}
	return all
}

func filter(instances []sycamorerun.Instance, keep func(sycamorerun.Instance) bool) []sycamorerun.Instance {
	var kept []sycamorerun.Instance
	for _, i := range instances {
		if keep(i) {
			kept = append(kept, i)
		}
	}
	return kept
}

// oldest returns the release of the upstream that entered its state first, other
// than the excluded release, and whether there is one.
func oldest(instances []sycamorerun.Instance, excluded string) (string, bool) {
	var first *sycamorerun.Instance
	for at := range instances {
		i := &instances[at]
		if (excluded == "" || i.Release != excluded) && (first == nil || i.Since.Before(first.Since)) {
			first = i
		}
	}
	if first == nil {
		return "", false
	}
	return first.Release, true
}
