package rationer

import (
	"math"
	"slices"
	"time"
)

const (
	// reportPeriod is the least time between two reports to the same owner.
	reportPeriod = 300 * time.Millisecond
	// urgentPeriod is the least time between two reports if a node has used half of
	// what it may admit.
	urgentPeriod = 40 * time.Millisecond
	// activeLease is the time for which an owner may use the share of a node that
	// uses accounts, and idleLease that of one that does not. An idle node reports
	// once in idlePeriod. Both are shorter than the time in which the members notice
	// that a node is cut off.
	activeLease = 1500 * time.Millisecond
	idleLease   = 5 * time.Second
	idlePeriod  = 2 * time.Second
	// leaseMargin is the time after the end of the lease, as the node counts it, until
	// the node uses its share itself. It covers the way of the report to the owner.
	leaseMargin = 500 * time.Millisecond
	// retryOwnerAfter is the time after which an owner that failed to answer is tried
	// again. The members have noticed by then if it is gone.
	retryOwnerAfter = 10 * time.Second
	// exchangeTimeout bounds the wait for an answer.
	exchangeTimeout = time.Second
	// closureGrace is the time for which an account stays closed at a node beyond the
	// time at which the owner expected room.
	closureGrace = time.Second
)

// lender is the state of a node for one group: which owner uses its share.
type lender struct {
	// owner is the member that the node reports to. candidates are the members that
	// may be, in order; the node prefers the first that answers.
	owner      string
	candidates []string
	// failed holds the times at which candidates have last failed to answer.
	failed map[string]time.Time
	// leaving is set if the last report ends the lease, so that the node can change
	// to another owner.
	leaving bool
	// answered is set once the owner has answered, and takeBack is the time from
	// which the node uses its share itself.
	answered bool
	takeBack time.Time
	// sentAt is the time of the last report. inFlight is set until it is answered or
	// has failed, and lease is its lease.
	sentAt   time.Time
	lease    time.Duration
	inFlight bool
	sent     []string
	used     bool
	// urgent is set if the node may soon have to refuse an account that has room.
	urgent bool
	closed map[string]closure
	// filled is the time for which the owner has filled its buckets.
	filled time.Duration
	// epoch is the epoch of the last answer, received at answeredAt.
	epoch      uint32
	answeredAt time.Time
}

// closure says that nothing may be admitted without a token.
type closure struct {
	room, until time.Time
}

// follow makes another member the owner, at a time at which none uses the share.
func (l *Ledger) follow(now time.Time, g *lender, owner string) {
	l.abandon(g)
	g.takeBack = earlier(g.takeBack, now)
	g.owner, g.answered, g.sentAt = owner, false, time.Time{}
}

// preferred returns the first candidate that has not failed lately.
func (g *lender) preferred(now time.Time) string {
	for _, name := range g.candidates {
		if failedAt, ok := g.failed[name]; !ok || now.Sub(failedAt) >= retryOwnerAfter {
			return name
		}
	}
	clear(g.failed)
	return g.candidates[0]
}

func (g *lender) closedUntil(now time.Time, account string) (closure, bool) {
	c, ok := g.closed[account]
	return c, ok && now.Before(c.until)
}

// Due returns the report for a group and its owner if one is due. It has to be
// followed by Answered or Failed.
func (l *Ledger) Due(now time.Time, group int) (owner string, report *Report, ok bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	g := &l.groups[group]
	if len(l.limits) == 0 || len(g.candidates) == 0 || g.inFlight || now.Sub(g.sentAt) < g.period() {
		return "", nil, false
	}
	if owner := g.preferred(now); owner != g.owner && !now.Before(g.takeBack) {
		l.follow(now, g, owner)
	}
	active := g.used
	report = &Report{Group: uint32(group)}
	for _, name := range l.names(group) {
		if l.addUse(now, g, report, name, l.stocks[name]) {
			active = true
		}
	}
	g.leaving = g.answered && g.preferred(now) != g.owner
	switch {
	case g.leaving:
		g.lease = 0
	case active:
		g.lease = activeLease
	default:
		g.lease = idleLease
	}
	report.LeaseMs = uint32(g.lease.Milliseconds())
	if l.settled(now) {
		report.Members = uint32(l.count)
	}
	if g.answered {
		report.SinceMs, report.Epoch = uint32(now.Sub(g.answeredAt).Milliseconds()), g.epoch
	}
	g.sentAt, g.inFlight, g.sent, g.used, g.urgent = now, true, report.Accounts, false, false
	return g.owner, report, true
}

// names returns the accounts of a group that this node has state of, sorted, so that
// the tokens of a nearly empty bucket do not depend on the order of a map.
func (l *Ledger) names(group int) []string {
	var names []string
	for name := range l.stocks {
		if groupOf(name) == group {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// period returns the time between two reports: short while accounts are used and until
// the owner has answered first, and long otherwise.
func (g *lender) period() time.Duration {
	switch {
	case g.urgent && g.answered:
		return urgentPeriod
	case g.used, !g.answered, g.lease == activeLease:
		return reportPeriod
	default:
		return idlePeriod
	}
}

// addUse adds an account to the report if there is anything to report, and deletes
// its stock if it is no longer used.
func (l *Ledger) addUse(now time.Time, g *lender, report *Report, name string, s *stock) bool {
	s.expire(now)
	quiet := s.offered == 0 && now.Sub(s.reportedAt) >= reportPeriod
	s.measureDemand(now)
	target := s.target()
	switch limit := l.limits[name]; {
	case g.answered && l.open(now, g, name, limit):
		target = max(0, target-limit.allowance(l.count))
	case g.answered:
		// A token that waits at a node is missing at another.
		target = min(target, int(math.Round(max(1, s.demand))))
	}
	if quiet {
		// The callers may have moved to another node that needs the tokens.
		target = 0
	}
	settled := s.settle(now, g.epoch)
	returned := s.giveBack(now.Add(2*reportPeriod), target)
	s.expire(now)
	wanted := max(0, target-s.held())
	if s.offered == 0 && s.advanced == 0 && settled == 0 && returned == 0 && wanted == 0 {
		if s.unused(now) {
			delete(l.stocks, name)
		}
		return false
	}
	report.Accounts = append(report.Accounts, name)
	report.Advanced = append(report.Advanced, uint32(s.advanced))
	report.Settled = append(report.Settled, uint32(settled))
	report.Returned = append(report.Returned, uint32(returned))
	report.Offered = append(report.Offered, uint32(s.offered))
	report.Wanted = append(report.Wanted, uint32(wanted))
	s.reported += s.advanced
	s.advanced, s.offered = 0, 0
	return true
}

// Answered applies the answer to the report that was sent last.
func (l *Ledger) Answered(now time.Time, group int, owner string, answer *Answer) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	g := &l.groups[group]
	if !g.inFlight || g.owner != owner {
		return
	}
	if answer.GetRefused() {
		l.abandon(g)
		g.takeBack, g.answered = earlier(g.takeBack, now), false
		return
	}
	for i, name := range g.sent {
		s := l.stocks[name]
		if s == nil {
			continue
		}
		s.reported = 0
		if i < len(answer.GetGranted()) && answer.GetGranted()[i] > 0 && now.Before(g.sentAt.Add(grantLifetime)) {
			s.batches = append(s.batches, batch{tokens: int(answer.GetGranted()[i]), expires: g.sentAt.Add(grantLifetime), epoch: answer.GetEpoch()})
		}
		s.provided = s.held()
	}
	g.closed = map[string]closure{}
	for i, name := range answer.GetClosed() {
		if i < len(answer.GetRoomMs()) {
			room := now.Add(time.Duration(answer.GetRoomMs()[i]) * time.Millisecond)
			g.closed[name] = closure{room: room, until: room.Add(closureGrace)}
		}
	}
	g.inFlight, g.answered = false, true
	g.epoch, g.answeredAt = answer.GetEpoch(), now
	l.count = l.peak.Observe(now, int(answer.GetMembers()))
	g.filled = time.Duration(answer.GetFilledMs()) * time.Millisecond
	g.takeBack = g.sentAt.Add(g.lease + leaseMargin)
	if g.leaving {
		l.follow(now, g, g.preferred(now))
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// Failed records that the last report was not answered.
func (l *Ledger) Failed(now time.Time, group int, owner string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	g := &l.groups[group]
	if g.owner != owner {
		return
	}
	l.abandon(g)
	if !now.Before(g.takeBack) {
		g.failed[owner] = now
		l.follow(now, g, g.preferred(now))
		// Candidates that can't be reached may fail at once.
		g.sentAt = now
	}
}

// abandon ends an exchange without an answer. The owner may have the report, so the
// requests without tokens are reported again, which counts them twice at worst.
func (l *Ledger) abandon(g *lender) {
	if !g.inFlight {
		return
	}
	g.inFlight = false
	for _, name := range g.sent {
		if s := l.stocks[name]; s != nil {
			s.advanced, s.reported = s.advanced+s.reported, 0
		}
	}
}
