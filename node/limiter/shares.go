package limiter

import "time"

const (
	// maxAhead is how far an account may be ahead of the others in served work, in
	// mean run times at a mean weight, before its calls give way to theirs.
	maxAhead = 4
	// maxAheadCalls is how many of its own calls an account may be ahead by if that is
	// more. One call of an account with a small weight would otherwise put it behind
	// calls without an account for as long as no other account moves the virtual time.
	maxAheadCalls = 2
	// aheadGrantInterval is the number of granted slots of which one goes to a call
	// of an account that is ahead. Of several accounts, each is served at least a
	// quarter as often as all.
	aheadGrantInterval = 4
	// maxAccounts bounds the number of accounts with a share of their own. The calls
	// of further ones count as those of an account that is not ahead.
	maxAccounts = 4096
	// weightSmoothing is the weight of the newest call in the mean weight.
	weightSmoothing = 0.01
)

// shares divides the slots among the accounts of a rank by start-time fair queueing:
// each account has a virtual time, which the work of its calls advances, the less the
// larger its weight. An account whose virtual time is far ahead of that of the call
// that started last gives way to the others. Without a shortage none is ahead, since
// each call starts at once.
type shares struct {
	// virtual is the virtual time of the call that started last, in seconds of work
	// at a mean weight.
	virtual  float64
	accounts map[string]*account
	// meanWeight is the moving average of the weights of the calls.
	meanWeight float64
	// sinceAhead counts the slots granted since the last one that went to an account
	// that was ahead while others waited.
	sinceAhead int
}

// account is the state of an account.
type account struct {
	// virtual is the virtual time up to which the account has been served.
	virtual float64
	// lastCost is the cost of its call that started last.
	lastCost float32
	// waiting is the number of its waiting calls.
	waiting int
}

// tag is the place of a call in virtual time.
type tag struct {
	account *account
	// start is the virtual time at which the call starts, and cost what it advances
	// the virtual time of its account by.
	start float64
	cost  float32
	// ahead says that the account was ahead of the others when the call arrived.
	ahead bool
}

// tag returns the tag of a call of an account that is expected to run for a time, as
// do calls on average for mean. It is zero for a call without an account.
func (s *shares) tag(name string, weight float64, runTime, mean time.Duration) tag {
	if name == "" {
		return tag{}
	}
	known, ok := s.accounts[name]
	if !ok {
		if len(s.accounts) >= maxAccounts {
			s.sweep()
		}
		if len(s.accounts) >= maxAccounts {
			return tag{}
		}
		if s.accounts == nil {
			s.accounts = map[string]*account{}
		}
		known = &account{}
		s.accounts[name] = known
	}
	switch {
	case weight <= 0:
		weight = s.meanWeight
	case s.meanWeight == 0:
		s.meanWeight = weight
	default:
		s.meanWeight += weightSmoothing * (weight - s.meanWeight)
	}
	cost := runTime.Seconds()
	if weight > 0 {
		cost *= s.meanWeight / weight
	}
	start := max(s.virtual, known.virtual) + float64(known.waiting)*cost
	bound := max(maxAhead*mean.Seconds(), maxAheadCalls*max(cost, float64(known.lastCost)))
	return tag{account: known, start: start, cost: float32(cost), ahead: start > s.virtual+bound}
}

// sweep deletes the accounts that are not ahead.
func (s *shares) sweep() {
	for name, known := range s.accounts {
		if known.waiting == 0 && known.virtual <= s.virtual {
			delete(s.accounts, name)
		}
	}
}

// start advances the virtual times by a call that starts.
func (s *shares) start(t tag) {
	if t.account == nil {
		return
	}
	start := max(s.virtual, t.account.virtual)
	s.virtual = max(s.virtual, min(t.start, start))
	t.account.virtual, t.account.lastCost = start+float64(t.cost), t.cost
}

// choose returns the call that starts instead of next, which is the first of its
// rank: at most once in aheadGrantInterval slots, one of an account that is ahead.
func (s *shares) choose(q *queue, next *waiter, transfers bool) *waiter {
	if next.tag.ahead {
		s.sinceAhead = 0
		return next
	}
	ahead := q.firstAhead(next.rank, transfers)
	if ahead == nil {
		return next
	}
	if s.sinceAhead++; s.sinceAhead < aheadGrantInterval {
		return next
	}
	s.sinceAhead = 0
	return ahead
}
