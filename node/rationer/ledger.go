package rationer

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"sycamorerun"
	"sycamorerun/node/divider"
)

const (
	// minAllowance is the least number of requests that a node admits without a token
	// between two answers.
	minAllowance = 3
	// goodAllowance is the number that lets a node wait for its first tokens when many
	// callers of an account turn to it.
	goodAllowance = 4
	// joinDelay is the time from the start during which a node uses no share of its
	// own, since it does not know the number of members yet. It ends early if the
	// number has not grown for growthPause. A node that knows no other member waits
	// for aloneDelay.
	joinDelay   = 3 * time.Second
	growthPause = time.Second
	aloneDelay  = 30 * time.Second
	// minRetryAfter is the least time that a refused caller is told to wait.
	minRetryAfter = 200 * time.Millisecond
	// maxRetryAfter bounds the time that a refused caller is told to wait.
	maxRetryAfter = 30 * time.Second
)

// Ledger admits the requests of accounts at one node.
type Ledger struct {
	Self  string
	Terms Terms
	// Random returns a number in [0, 1).
	Random func() float64

	mutex     sync.Mutex
	startedAt time.Time
	limits    map[string]limit
	stocks    map[string]*stock
	groups    [groupCount]lender
	// wake signals that a report may be due earlier than expected.
	wake [groupCount]chan struct{}
	peak divider.PeakCount
	// grownAt is the time at which count has last grown.
	grownAt time.Time
	// count is the number of members that shares are computed with, and index the
	// index of this node among them.
	count, index int
}

// NewLedger returns the ledger of a node that starts at now.
func NewLedger(now time.Time, self string, terms Terms) *Ledger {
	l := &Ledger{
		Self: self, Terms: terms, Random: rand.Float64, startedAt: now,
		limits: map[string]limit{}, stocks: map[string]*stock{}, count: 1,
	}
	for group := range groupCount {
		l.wake[group] = make(chan struct{}, 1)
		l.groups[group].failed = map[string]time.Time{}
	}
	return l
}

// SetAccounts replaces the limits. A node gives up the tokens and shares of accounts
// whose limit has changed, so that a lower limit binds at once.
func (l *Ledger) SetAccounts(accounts map[string]sycamorerun.Account) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	limits := make(map[string]limit, len(accounts))
	for name, account := range accounts {
		if account.Rate > 0 {
			limits[name] = l.Terms.limit(account)
		}
	}
	for name, s := range l.stocks {
		if next, ok := limits[name]; !ok {
			delete(l.stocks, name)
		} else if next != l.limits[name] {
			s.batches, s.credit = nil, min(s.credit, l.firstCredit(name))
		}
	}
	l.limits = limits
	l.signalAll()
}

func (l *Ledger) signalAll() {
	for group := range l.wake {
		l.signal(group)
	}
}

// SetMembers sets the names of the live members, sorted. A node that has left knows
// none and goes on with those that it knew.
func (l *Ledger) SetMembers(now time.Time, members []string) {
	if len(members) == 0 {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	defer l.signalAll()
	previous := l.count
	if l.count = l.peak.Observe(now, len(members)); l.count > previous {
		l.grownAt = now
	}
	l.index = 0
	for _, name := range members {
		if name < l.Self {
			l.index++
		}
	}
	for group := range l.groups {
		l.groups[group].candidates = candidatesOf(group, members)
	}
}

// Charge decides whether a request of an account is admitted. If it is not, the
// caller may return after the time given, which is spread.
func (l *Ledger) Charge(now time.Time, account string) (time.Duration, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	limit, ok := l.limits[account]
	if !ok {
		return 0, true
	}
	g, s := &l.groups[groupOf(account)], l.stock(now, account)
	s.offered++
	s.usedAt = now
	l.markUsed(g, groupOf(account))
	if s.take(now) || l.advance(now, g, s, account, limit) {
		s.admitted++
		if !g.urgent && l.runsLow(now, g, s, account, limit) {
			g.urgent = true
			l.signal(groupOf(account))
		}
		return 0, true
	}
	s.refused++
	return l.retryAfter(now, g, account, limit), false
}

func (l *Ledger) markUsed(g *lender, group int) {
	if !g.used {
		g.used = true
		l.signal(group)
	}
}

// signal lets the wait for the next report be computed again.
func (l *Ledger) signal(group int) {
	select {
	case l.wake[group] <- struct{}{}:
	default:
	}
}

// wait returns the time until the next report of a group may be due.
func (l *Ledger) wait(now time.Time, group int) time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	g := &l.groups[group]
	if len(l.limits) == 0 || len(g.candidates) == 0 {
		return pausedWait
	}
	return max(0, g.period()-now.Sub(g.sentAt))
}

// takeUse returns the use of all accounts since the last call.
func (l *Ledger) takeUse() []accountUse {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var uses []accountUse
	for name, s := range l.stocks {
		if s.admitted+s.refused > 0 {
			uses = append(uses, accountUse{account: name, admitted: s.admitted, refused: s.refused})
			s.admitted, s.refused = 0, 0
		}
	}
	return uses
}

func (l *Ledger) stock(now time.Time, account string) *stock {
	s, ok := l.stocks[account]
	if !ok {
		s = &stock{credit: l.firstCredit(account), creditedAt: now}
		l.stocks[account] = s
	}
	return s
}

// firstCredit returns the credit with which the share of this node begins. It differs
// evenly between the members, so that the whole requests that they admit grow steadily
// together. It is not positive, so that a restart gains nothing.
func (l *Ledger) firstCredit(account string) float64 {
	offset := int(xxhash.Sum64String(account) % uint64(l.count))
	return float64((l.index+offset)%l.count)/float64(l.count) - 1
}

// advance admits a request without a token: from the reserve while an owner uses this
// node's share, from the share itself otherwise.
func (l *Ledger) advance(now time.Time, g *lender, s *stock, account string, limit limit) bool {
	if now.Before(g.takeBack) {
		if !g.answered || !l.open(now, g, account, limit) || s.advanced+s.reported >= limit.allowance(l.count) {
			return false
		}
		s.advanced++
		return true
	}
	s.accrue(now, l.shareStart(g), limit.rate/float64(l.count), max(1, limit.pool(l.count)/float64(l.count)))
	return s.spend()
}

// runsLow reports whether the node has used half of what it could admit of an account
// that has room.
func (l *Ledger) runsLow(now time.Time, g *lender, s *stock, account string, limit limit) bool {
	allowance := limit.allowance(l.count)
	return 2*(s.held()+allowance-s.advanced-s.reported) <= s.provided+allowance && l.open(now, g, account, limit)
}

// open reports whether the account had room when the owner answered last.
func (l *Ledger) open(now time.Time, g *lender, account string, limit limit) bool {
	_, closed := g.closedUntil(now, account)
	return !closed && limit.levelAfter(g.filled, l.count) >= openFraction*limit.pool(l.count)
}

// shareStart returns the time from which this node uses its share itself.
func (l *Ledger) shareStart(g *lender) time.Time {
	if start := l.settledAt(); g.takeBack.Before(start) {
		return start
	}
	return g.takeBack
}

// settledAt returns the time from which this node trusts the number of members.
func (l *Ledger) settledAt() time.Time { return settledAt(l.startedAt, l.grownAt, l.count) }

func settledAt(startedAt, grownAt time.Time, count int) time.Time {
	if count == 1 {
		return startedAt.Add(aloneDelay)
	}
	return earlier(startedAt.Add(joinDelay), grownAt.Add(growthPause))
}

func (l *Ledger) settled(now time.Time) bool { return !now.Before(l.settledAt()) }

// retryAfter returns the time until the account has room, with a random part of the
// same length, so that its callers do not return at one moment.
func (l *Ledger) retryAfter(now time.Time, g *lender, account string, limit limit) time.Duration {
	wait := minRetryAfter
	if c, ok := g.closedUntil(now, account); ok {
		wait = max(wait, c.room.Sub(now))
	} else if !now.Before(g.takeBack) {
		wait = max(wait, time.Duration(float64(l.count)/limit.rate*float64(time.Second)))
	}
	return min(time.Duration(float64(wait)*(1+l.Random())), maxRetryAfter)
}
