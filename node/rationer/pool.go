package rationer

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"sycamorerun"
	"sycamorerun/node/divider"
)

const (
	// closeFraction and openFraction are the levels, as fractions of the pool, below
	// which an account is closed and above which it is opened again.
	closeFraction = 0.125
	openFraction  = 0.25
	// rateTime is the time over which the rate of requests is averaged.
	rateTime = time.Second
	// slotCount is the number of slots in which grants expire. One more slot is kept,
	// since the lifetime of a grant covers only part of the oldest one.
	slotCount = 4
	slotTime  = grantLifetime / slotCount
	// minRate is the rate in requests a second that counts as none.
	minRate = 1e-6
	// pruneInterval is the time between two searches for unused buckets.
	pruneInterval = 10 * time.Second
	// maxFilled bounds the filled time that is announced. All buckets are full by
	// then.
	maxFilled = time.Hour
	// limitedTime is the time after which an account that no longer exceeds its limit
	// counts as within it.
	limitedTime = 5 * time.Second
	// closureTime is the time in which the nodes that use an account hear of its
	// closure: a period and the ways of a report and its answer.
	closureTime = reportPeriod + 100*time.Millisecond
	// maxWait bounds the time for which an account is announced as closed.
	maxWait = 30 * time.Second
)

// bucket is the state of one account at the owner.
type bucket struct {
	// level is the number of tokens that can be granted. Requests that were admitted
	// without a token can make it negative.
	level float64
	// updatedAt is the time from the start of the node to the last refill.
	updatedAt time.Duration
	// filled is the filled time of the group at updatedAt.
	filled time.Duration
	// granted counts the tokens that nodes may still hold by the slot of their grant.
	granted [slotCount + 1]int
	newest  int64
	// demand is the rate of all requests in requests a second.
	demand float64
	closed bool
}

// loan is the right to use the share of a member until a time. answered is the time of
// the last answer to the member.
type loan struct {
	until, answered time.Time
}

// Pool grants the tokens of the accounts of the groups that this node owns.
type Pool struct {
	Self  string
	Terms Terms
	// Random returns a number in [0, 1).
	Random func() float64
	// Limited is called when an account exceeds its limit and when it is within it
	// again, with the rate of its requests a second. It may be nil.
	Limited func(account string, limited bool, rate float64)

	mutex     sync.Mutex
	startedAt time.Time
	limits    map[string]limit
	groups    [groupCount]ownedGroup
	peak      divider.PeakCount
	// count is the number of members that shares are computed with. settled is set
	// if it comes from a node that has run for longer than joinDelay.
	count   int
	settled bool
	// grownAt is the time at which count has last grown.
	grownAt time.Time
}

// ownedGroup is the state of one group. Any node owns a group for the members that lend
// it their shares; the lending nodes choose the same owner if they can.
type ownedGroup struct {
	buckets map[string]*bucket
	// closed holds the names of the closed buckets.
	closed map[string]bool
	// limited holds the accounts that exceed their limit and the time at which each
	// was last closed.
	limited map[string]time.Time
	// loans holds the members whose shares this node uses.
	loans map[string]loan
	// epoch tells this ownership of the group from others.
	epoch uint32
	// count is the number of members at sharedAt.
	count int
	// share is the part of the rate that the loans permit, as of sharedAt.
	share    float64
	sharedAt time.Time
	// filled is the time for which the group has had the whole rate: the integral of
	// share.
	filled            time.Duration
	sweptAt, prunedAt time.Time
}

// NewPool returns the pool of a node that starts at now.
func NewPool(now time.Time, self string, terms Terms) *Pool {
	p := &Pool{Self: self, Terms: terms, Random: rand.Float64, startedAt: now, limits: map[string]limit{}, count: 1}
	for group := range p.groups {
		p.groups[group] = ownedGroup{
			buckets: map[string]*bucket{}, closed: map[string]bool{}, limited: map[string]time.Time{}, loans: map[string]loan{},
		}
	}
	return p
}

// SetAccounts replaces the limits. The buckets of removed accounts stay, so that an
// account that soon comes back gets no second burst.
func (p *Pool) SetAccounts(accounts map[string]sycamorerun.Account) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.limits = make(map[string]limit, len(accounts))
	for name, account := range accounts {
		if account.Rate > 0 {
			p.limits[name] = p.Terms.limit(account)
		}
	}
	for i := range p.groups {
		for name, b := range p.groups[i].buckets {
			if limit, ok := p.limits[name]; ok {
				b.level = min(b.level, limit.pool(p.count))
			}
		}
	}
}

// SetMembers sets the number of live members.
func (p *Pool) SetMembers(now time.Time, members int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	previous := p.count
	if p.count = p.peak.Observe(now, members); p.count > previous {
		p.grownAt = now
	}
}

// Serve applies a report of a member and returns the answer.
func (p *Pool) Serve(now time.Time, from string, report *Report) *Answer {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if report.GetGroup() >= groupCount || !report.complete() {
		return &Answer{Refused: true}
	}
	g := &p.groups[report.GetGroup()]
	p.learnCount(now, int(report.GetMembers()))
	if !p.settled {
		return &Answer{Refused: true}
	}
	if g.epoch == 0 {
		g.epoch = p.epoch()
	}
	settles := g.settles(now, from, report)
	lease := min(idleLease, time.Duration(report.GetLeaseMs())*time.Millisecond)
	g.loans[from] = loan{until: now.Add(lease), answered: now}
	if lease == 0 {
		// The member lends its share to another owner from now on.
		g.sweptAt = time.Time{}
	}
	p.updateShare(now, g)
	answer := &Answer{Granted: make([]uint32, len(report.GetAccounts())), Epoch: g.epoch, Members: uint32(p.count)}
	for i, name := range report.GetAccounts() {
		limit, ok := p.limits[name]
		if !ok {
			continue
		}
		b := g.bucket(now.Sub(p.startedAt), name, limit)
		if settles {
			b.settle(int(report.Settled[i]) + int(report.Returned[i]))
		}
		b.level += float64(report.Returned[i]) - float64(report.Advanced[i])
		b.demand += float64(report.Offered[i]) / rateTime.Seconds()
		if !g.withholds(b, limit) {
			answer.Granted[i] = uint32(p.grant(b, limit.rate*g.share, limit.pool(g.count)*g.share, int(report.Wanted[i])))
		}
		g.updateClosed(name, b, limit)
		if b.closed && b.demand > limit.rate {
			p.markLimited(now, g, name, b.demand)
		}
	}
	p.listClosed(now, g, answer)
	answer.FilledMs = uint32(min(g.filled, maxFilled).Milliseconds())
	return answer
}

// complete reports whether the report has a number of each kind for each account.
func (x *Report) complete() bool {
	n := len(x.GetAccounts())
	return len(x.Advanced) == n && len(x.Settled) == n && len(x.Returned) == n && len(x.Offered) == n && len(x.Wanted) == n
}

// epoch returns a number that differs from those of other owners, and is not zero.
func (p *Pool) epoch() uint32 { return 1 + uint32(p.Random()*(math.MaxUint32-1)) }

// settles reports whether the tokens that a member reports as used are still among the
// outstanding ones. The way of the report took at most the time since the last answer
// less the part of it that the member measured.
func (g *ownedGroup) settles(now time.Time, from string, report *Report) bool {
	last, ok := g.loans[from]
	way := now.Sub(last.answered) - time.Duration(report.GetSinceMs())*time.Millisecond
	return ok && report.GetEpoch() == g.epoch && way < settleMargin
}

// learnCount takes over the number of members that a node uses that knows it already.
// After a start of the whole fleet no node does, and the owner waits.
func (p *Pool) learnCount(now time.Time, members int) {
	p.count = p.peak.Observe(now, max(members, 1))
	p.settled = p.settled || members > 1 || !now.Before(settledAt(p.startedAt, p.grownAt, p.count))
}

// updateShare adds the time since the last call to the filled time. It counts the
// loans at most once per slot, since they are as many as the members.
func (p *Pool) updateShare(now time.Time, g *ownedGroup) {
	if g.sharedAt.IsZero() {
		g.sharedAt = now
	}
	elapsed := now.Sub(g.sharedAt)
	g.filled += time.Duration(g.share * float64(elapsed))
	g.count = p.count
	g.sharedAt = now
	if now.Sub(g.sweptAt) < slotTime && g.share > 0 {
		return
	}
	g.sweptAt = now
	for name, loan := range g.loans {
		if !now.Before(loan.until) {
			delete(g.loans, name)
		}
	}
	g.share = min(1, float64(len(g.loans))/float64(p.count))
	p.releaseLimited(now, g)
	if now.Sub(g.prunedAt) >= pruneInterval {
		g.prunedAt = now
		p.prune(now, g)
	}
}

func (p *Pool) markLimited(now time.Time, g *ownedGroup, name string, rate float64) {
	if _, ok := g.limited[name]; !ok && p.Limited != nil {
		p.Limited(name, true, rate)
	}
	g.limited[name] = now
}

// releaseLimited reports the accounts that have not exceeded their limit for a while.
func (p *Pool) releaseLimited(now time.Time, g *ownedGroup) {
	for name, last := range g.limited {
		if now.Sub(last) < limitedTime {
			continue
		}
		delete(g.limited, name)
		if b := g.buckets[name]; b != nil && p.Limited != nil {
			p.Limited(name, false, b.demand)
		}
	}
}

// prune deletes the buckets of accounts that are full and out of use, and those of
// removed accounts that would be full by now. A new bucket would be full as well.
func (p *Pool) prune(now time.Time, g *ownedGroup) {
	for name, b := range g.buckets {
		limit, ok := p.limits[name]
		if !ok {
			if now.Sub(p.startedAt)-b.updatedAt >= maxFilled {
				delete(g.buckets, name)
			}
			continue
		}
		g.bucket(now.Sub(p.startedAt), name, limit)
		pool := limit.pool(g.count)
		if !b.closed && b.demand < minRate && b.outstanding() == 0 && b.level >= pool*g.share && limit.levelAfter(g.filled, g.count) >= pool {
			delete(g.buckets, name)
		}
	}
}

// bucket returns the bucket of an account with all tokens up to now. An account
// without a bucket has what it would have got since this node became the owner.
func (g *ownedGroup) bucket(uptime time.Duration, name string, limit limit) *bucket {
	b, ok := g.buckets[name]
	if !ok {
		b = &bucket{level: limit.levelAfter(g.filled, g.count), updatedAt: uptime, filled: g.filled, closed: true}
		g.buckets[name] = b
	}
	b.expire(uptime)
	b.refill(uptime, g.filled, limit.rate, limit.pool(g.count)*g.share)
	return b
}

// updateClosed closes or opens an account by its level.
func (g *ownedGroup) updateClosed(name string, b *bucket, limit limit) {
	closeLevel, openLevel := g.thresholds(limit)
	b.closed = b.level < closeLevel || b.closed && b.level < openLevel
	if b.closed {
		g.closed[name] = true
	} else {
		delete(g.closed, name)
	}
}

// thresholds returns the levels below which an account is closed and above which it is
// opened again. If the reserve can't cover the allowance of each node, it is left for
// the requests that arrive before the nodes have heard of the closure, and the whole
// pool is used.
func (g *ownedGroup) thresholds(limit limit) (closeLevel, openLevel float64) {
	pool := limit.pool(g.count) * g.share
	if !limit.covers(g.count) {
		return 0, closeFraction * pool
	}
	return closeFraction * pool, openFraction * pool
}

// withholds reports whether a closed account grants no tokens until it is open again:
// the reserve does not cover the allowance of each node, but the requests that arrive
// until all nodes have heard of a closure. Most tokens of such an account would wait at
// nodes that have no request for them, and the bucket could not fill meanwhile.
func (g *ownedGroup) withholds(b *bucket, limit limit) bool {
	return b.closed && !limit.covers(g.count) && b.demand*closureTime.Seconds() <= limit.reserve(g.count)*g.share
}

// refill adds the tokens since the last call. The level and the tokens that nodes may
// still hold never exceed the pool together.
func (b *bucket) refill(uptime, filled time.Duration, rate, pool float64) {
	b.demand *= math.Exp(-(uptime - b.updatedAt).Seconds() / rateTime.Seconds())
	room := pool - float64(b.outstanding())
	b.level = min(b.level+rate*(filled-b.filled).Seconds(), room)
	b.updatedAt, b.filled = uptime, filled
}

// expire clears the slots of tokens that no node can use any more.
func (b *bucket) expire(uptime time.Duration) {
	slot := int64(uptime / slotTime)
	if slot-b.newest > slotCount {
		b.granted, b.newest = [slotCount + 1]int{}, slot
	}
	for b.newest < slot {
		b.newest++
		b.granted[b.newest%(slotCount+1)] = 0
	}
}

func (b *bucket) outstanding() int {
	sum := 0
	for _, n := range b.granted {
		sum += n
	}
	return sum
}

// settle removes tokens that were used or returned, the oldest first, so that the rest
// counts as outstanding for at least as long as it is.
func (b *bucket) settle(n int) {
	for slot := b.newest + 1; slot <= b.newest+slotCount+1 && n > 0; slot++ {
		granted := &b.granted[slot%(slotCount+1)]
		used := min(n, *granted)
		*granted -= used
		n -= used
	}
}

// grant takes up to wanted tokens from the bucket. If more is asked of the account
// than it has, each node gets the same part of its demand.
func (p *Pool) grant(b *bucket, rate, pool float64, wanted int) int {
	part := 1.0
	if b.level < pool/2 {
		part = min(1, rate/max(b.demand, minRate))
	}
	tokens := int(min(float64(wanted)*part+p.Random(), float64(wanted), b.level))
	if tokens <= 0 {
		return 0
	}
	b.level -= float64(tokens)
	b.granted[b.newest%(slotCount+1)] += tokens
	return tokens
}

// listClosed adds the closed accounts to the answer.
func (p *Pool) listClosed(now time.Time, g *ownedGroup, answer *Answer) {
	for name := range g.closed {
		limit, ok := p.limits[name]
		if !ok {
			delete(g.closed, name)
			continue
		}
		b := g.bucket(now.Sub(p.startedAt), name, limit)
		if g.updateClosed(name, b, limit); !b.closed {
			continue
		}
		_, openLevel := g.thresholds(limit)
		missing := openLevel - b.level
		wait := time.Duration(missing / max(limit.rate*g.share, minRate) * float64(time.Second))
		answer.Closed = append(answer.Closed, name)
		answer.RoomMs = append(answer.RoomMs, uint32(min(maxWait, wait).Milliseconds()))
	}
}
