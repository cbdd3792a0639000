package runner

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"sycamorerun"
	"sycamorerun/node/announcer"
	"sycamorerun/node/applier"
	"sycamorerun/node/balancer"
	"sycamorerun/node/deduplicator"
	"sycamorerun/node/forwarder"
	"sycamorerun/node/identifier"
	"sycamorerun/node/limiter"
	"sycamorerun/node/listener"
	"sycamorerun/node/pacer"
	"sycamorerun/node/registrar"
	"sycamorerun/node/retrier"
	"sycamorerun/node/router"
)

// calls holds the components of the data path.
type calls struct {
	forwarder    *forwarder.Forwarder
	balancer     *balancer.Balancer
	limiter      *limiter.Limiter
	retrier      *retrier.Retrier
	registrar    *registrar.Registrar
	deduplicator *deduplicator.Deduplicator
	upstream     *localUpstream
	listener     *listener.Listener
}

// bitsPerMegabit converts the unit of the setting link-rate.
const bitsPerMegabit = 1e6

// setLimits applies the limits for callers to all requests that begin after the call.
func (c *calls) setLimits(limits sycamorerun.Limits) {
	c.forwarder.SetLimits(limits)
	c.listener.SetLimits(limits)
}

// newCalls wires the data path. The functions current, instances and members return
// the configuration in force, the serving members of a service and all live members.
func newCalls(now time.Time, activeSettings func() *Settings, current func() *applier.State, instances func(service string) []sycamorerun.Instance, members func() []sycamorerun.Instance) *calls {
	settings := activeSettings()
	c := &calls{upstream: &localUpstream{
		announcer: announcer.New(func() time.Duration { return activeSettings().AnnouncePeriod }),
	}}
	service := func(name string) (sycamorerun.Service, bool) { return current().Table.Service(name) }

	c.limiter = limiter.New(limiter.Limits{})
	c.retrier = retrier.New(func(name string) float64 {
		found, _ := service(name)
		return found.Retries
	})
	c.retrier.Budget = retrier.Budget{Ratio: settings.RetryRatio, Window: settings.RetryWindow, Slack: settings.RetrySlack}
	c.retrier.Members = func() int { return len(members()) }
	c.retrier.MemberIndex = func() int {
		index := 0
		for _, member := range members() {
			if member.Name < settings.Name {
				index++
			}
		}
		return index
	}
	c.balancer = balancer.New(settings.AvailabilityZone, settings.Region)
	c.balancer.Instances = instances
	c.balancer.RoundRobin = settings.Balance == "round-robin"
	c.balancer.Warmup = func(name string) time.Duration {
		found, _ := service(name)
		return time.Duration(found.Warmup)
	}
	c.registrar = registrar.New(registrar.Defaults)
	limits := deduplicator.Defaults
	limits.KeyTTL = settings.KeyWindow
	c.deduplicator = deduplicator.New(now, limits)
	c.deduplicator.Self = settings.Name

	f := forwarder.New(settings.Name)
	f.SetLimits(settings.limits())
	f.Pacer.Rate = settings.LinkRate * bitsPerMegabit
	c.listener = listener.New()
	c.listener.ErrorResponse = f.RefuseHeader
	c.listener.SetLimits(settings.limits())
	f.Upstream = c.upstream
	f.Service = settings.Service
	f.Target = c.upstream.id
	c.upstream.contract = func() forwarder.Contract { return f.Contract }
	if !settings.Keys {
		f.Contract.Key = ""
	}
	f.Match = func(request *http.Request) (forwarder.Match, bool) {
		return match(current().Table, f.Contract.Scheme, request)
	}
	f.Pick = func(now time.Time, query forwarder.Query) (sycamorerun.Instance, bool) {
		return c.balancer.Pick(now, balancer.Query(query))
	}
	f.Observe = func(now time.Time, o forwarder.Observation) {
		c.balancer.Observe(now, balancerObservation(o))
		if o.Result == sycamorerun.Answered {
			c.retrier.RecordRunTime(now, o.Service, o.HeadLatency)
		}
	}
	f.HasOtherInstance = func(service string, excluded []string) bool { return hasOther(instances(service), excluded) }
	f.Owner = func(service, key string) (sycamorerun.Instance, bool) { return keyOwner(instances(service), key) }
	f.CountCall = c.retrier.RecordCall
	f.AllowRetry = func(now time.Time, a forwarder.Attempt) (time.Duration, bool) {
		return c.retrier.Allow(now, retrier.Attempt{
			Service: a.Service, Number: a.Number, Sends: a.Sends, Sent: a.Sent, Limit: a.Limit, SameInstance: a.SameInstance, TimeLeft: a.TimeLeft,
			ParentAttempt: a.ParentAttempt, Result: a.Result,
			Repeatable: a.Repeatable, Consumed: a.Consumed, ResponseStarted: a.ResponseStarted,
		})
	}
	f.Acquire = func(ctx context.Context, now time.Time, request forwarder.SlotRequest) (func(), forwarder.Rejection) {
		if !c.upstream.admits(forwarder.ServiceOf(ctx)) {
			return nil, forwarder.Rejection{Reason: limiter.Draining}
		}
		sent, wait := f.Pacer.Admit(pacer.Kind{Service: forwarder.ServiceOf(ctx), Rank: request.Rank, Objective: request.Objective})
		if sent == nil {
			return nil, forwarder.Rejection{Reason: pacer.Full, After: wait}
		}
		release, refusal := c.limiter.Acquire(ctx, now, limiter.Request(request))
		if refusal.Reason != "" {
			sent()
			return nil, forwarder.Rejection(refusal)
		}
		return func() {
			sent()
			release()
		}, forwarder.Rejection{}
	}
	f.Load = func(match forwarder.Match) *forwarder.Load {
		load := c.limiter.Load()
		report := &forwarder.Load{
			Running: uint32(load.Running), Queued: uint32(load.Queued), Slots: uint32(load.Slots),
			RunUs: c.limiter.MeanRunTime(match.Rank, match.Objective).Microseconds(),
		}
		f.AddSlowdown(f.Now(), report)
		return report
	}
	f.Begin = c.begin
	f.Launch = c.registrar.Launch
	f.Finish = func(now time.Time, claim forwarder.Claim, completion forwarder.Completion) {
		if c.registrar.Finish(claim.ID, registrar.Outcome{Result: completion.Result, Sent: completion.Sent}) {
			c.deduplicator.Finish(now, deduplicatorKey(claim), deduplicator.Result{Result: completion.Result, Response: completion.Response})
		}
	}
	f.End = c.registrar.End
	f.Refuse = func(sent sycamorerun.Session, sequence uint64) forwarder.CallState {
		return forwarder.CallState(c.registrar.Refuse(sent, sequence))
	}
	c.forwarder = f
	return c
}

// begin claims the execution of a call: the attempt must not have been refused, and its
// key must not have been used.
func (c *calls) begin(now time.Time, claim forwarder.Claim) sycamorerun.Decision {
	decide := func() sycamorerun.Decision { return c.deduplicator.Begin(now, deduplicatorKey(claim)) }
	return c.registrar.Begin(claim.ID, decide, func() {
		c.deduplicator.Finish(time.Now(), deduplicatorKey(claim), deduplicator.Result{Result: sycamorerun.NotRun})
	})
}

// match returns the properties of a request's route, and whether there is a route.
// The scheme is that of the callers' keys.
func match(table *router.Table, scheme string, request *http.Request) (forwarder.Match, bool) {
	found, ok := table.Match(router.Request{
		Method: request.Method, Host: request.Host, Path: request.URL.Path,
		Header: request.Header, Random: rand.Uint64(), Key: identifier.ReadKey(request.Header, scheme),
	})
	return forwarder.Match{
		Team: found.Route.Team(), Service: found.Service, Class: found.Class, Repeatable: found.Repeatable,
		Timeout: found.Timeout, Idle: time.Duration(found.Settings.Idle),
		Attempts: found.Attempts, Objective: found.Objective, Rank: found.Rank,
		Access: accesses[found.Access], Account: found.Account.Name, Label: found.Account.Label, Metered: found.Account.Metered,
	}, ok
}

// accesses maps the router's decisions to the forwarder's.
var accesses = map[router.Access]forwarder.Access{
	router.AccessOpen: forwarder.AccessOpen, router.AccessPublic: forwarder.AccessPublic,
	router.AccessGranted: forwarder.AccessGranted, router.AccessDenied: forwarder.AccessDenied,
}

func balancerObservation(o forwarder.Observation) balancer.Observation {
	result := balancer.Observation{
		Instance: o.Instance.Name, Incarnation: o.Instance.Incarnation, Sequence: o.Instance.Sequence, Started: o.Started, Service: o.Service, Result: o.Result, Reason: o.Reason, Status: o.Status,
		After: o.RetryAfter, Rank: o.Rank, Objective: o.Objective, Bytes: o.Bytes,
	}
	if o.Load != nil {
		result.Load = &balancer.Load{
			Running: int(o.Load.GetRunning()), Queued: int(o.Load.GetQueued()), Slots: int(o.Load.GetSlots()),
			RunTime:  time.Duration(o.Load.GetRunUs()) * time.Microsecond,
			Slowdown: float64(o.Load.GetSlowdown()) / 100, SlowdownAge: time.Duration(o.Load.GetSlowdownAgeMs()) * time.Millisecond,
		}
	}
	return result
}

// hasOther reports whether a serving member is not among the excluded names.
func hasOther(members []sycamorerun.Instance, excluded []string) bool {
	return slices.ContainsFunc(members, func(member sycamorerun.Instance) bool {
		return member.Serving() && !slices.Contains(excluded, member.Name)
	})
}

// keyOwner returns the member that executes calls with key.
func keyOwner(members []sycamorerun.Instance, key string) (sycamorerun.Instance, bool) {
	name := deduplicator.Owner(key, names(members))
	for _, member := range members {
		if member.Name == name {
			return member, true
		}
	}
	return sycamorerun.Instance{}, false
}

func names(members []sycamorerun.Instance) []string {
	result := make([]string, len(members))
	for i, member := range members {
		result[i] = member.Name
	}
	return result
}

func deduplicatorKey(claim forwarder.Claim) deduplicator.Key {
	return deduplicator.Key{Name: claim.Key, Fingerprint: claim.Fingerprint}
}
