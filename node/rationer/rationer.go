package rationer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"sycamorerun"
	"sycamorerun/encoder"
)

// Kind is the stream kind of the reports.
const Kind = "quotas"

const (
	// maxFrameBytes bounds a report and an answer.
	maxFrameBytes = 1 << 20
	// streamTimeout is the time without a report after which a stream is closed.
	streamTimeout = 3 * idlePeriod
	// pausedWait is the wait for the next report while no account has a rate.
	pausedWait = time.Hour
)

// Rationer is the part of a node in the quotas: it admits requests, reports to the
// owners and serves the groups that the node owns. Set the exported fields before any
// method is called.
type Rationer struct {
	Self string
	// Open opens a stream of Kind to a member.
	Open   func(ctx context.Context, member string) (net.Conn, error)
	Now    func() time.Time
	Logger log.Logger
	Scope  tally.Scope

	ledger *Ledger
	pool   *Pool
	// mutex guards decoded.
	mutex   sync.Mutex
	decoded decodedAccounts
	// rates holds the rates of the accounts of the version in force that have one.
	rates atomic.Pointer[map[string]float64]
}

// New returns the rationer of a node that starts at now.
func New(now time.Time, self string, terms Terms) *Rationer {
	r := &Rationer{
		Self: self, Now: time.Now, Logger: log.NewNopLogger(), Scope: tally.NoopScope,
		ledger: NewLedger(now, self, terms), pool: NewPool(now, self, terms), decoded: decodedAccounts{},
	}
	r.pool.Limited = r.logLimited
	return r
}

// Charge decides whether a request of an account is admitted. If it is not, the caller
// may return after the time given.
func (r *Rationer) Charge(now time.Time, account string) (time.Duration, bool) {
	return r.ledger.Charge(now, account)
}

// Rate returns the rate of an account in requests a second, or zero if it has none.
func (r *Rationer) Rate(account string) float64 {
	rates := r.rates.Load()
	if rates == nil {
		return 0
	}
	return (*rates)[account]
}

// Update takes over the accounts of a version.
func (r *Rationer) Update(items map[sycamorerun.Path]sycamorerun.Item) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.decoded.update(items) {
		accounts := r.decoded.limited()
		rates := make(map[string]float64, len(accounts))
		for name, account := range accounts {
			rates[name] = account.Rate
		}
		r.rates.Store(&rates)
		r.pool.SetAccounts(accounts)
		r.ledger.SetAccounts(accounts)
	}
}

// SetMembers sets the names of the live members, sorted.
func (r *Rationer) SetMembers(now time.Time, members []string) {
	r.pool.SetMembers(now, len(members))
	r.ledger.SetMembers(now, members)
}

// Run reports to the owners until ctx ends.
func (r *Rationer) Run(ctx context.Context) error {
	var tasks sync.WaitGroup
	for group := range groupCount {
		tasks.Go(func() { r.runGroup(ctx, group) })
	}
	tasks.Go(func() { r.runMetrics(ctx) })
	tasks.Wait()
	return nil
}

func (r *Rationer) runGroup(ctx context.Context, group int) {
	link := &link{open: r.Open}
	defer link.close()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-time.After(r.ledger.wait(r.Now(), group)):
		case <-r.ledger.wake[group]:
			continue
		}
		if owner, report, ok := r.ledger.Due(r.Now(), group); ok {
			r.report(ctx, link, group, owner, report)
		}
	}
}

// report sends a report to the owner of a group and applies the answer.
func (r *Rationer) report(ctx context.Context, link *link, group int, owner string, report *Report) {
	if owner == r.Self {
		now := r.Now()
		r.ledger.Answered(now, group, owner, r.pool.Serve(now, owner, report))
		return
	}
	answer, err := link.exchange(ctx, r.Now(), owner, report)
	if err != nil {
		_ = level.Debug(r.Logger).Log("msg", "report of account use was not answered", "peer", owner, "err", err)
		r.ledger.Failed(r.Now(), group, owner)
		return
	}
	r.ledger.Answered(r.Now(), group, owner, answer)
}

// Serve answers the reports of a member until the stream ends.
func (r *Rationer) Serve(from string, stream net.Conn) {
	defer func() { _ = stream.Close() }()
	for {
		_ = stream.SetDeadline(r.Now().Add(streamTimeout))
		report, err := encoder.Read[Report](stream, maxFrameBytes)
		if err != nil {
			return
		}
		if _, err := encoder.Write(stream, r.pool.Serve(r.Now(), from, report)); err != nil {
			return
		}
	}
}

func (r *Rationer) logLimited(account string, limited bool, rate float64) {
	if limited {
		_ = level.Info(r.Logger).Log("msg", "account exceeds its limit", "account", account, "offered_per_second", int(rate))
		return
	}
	_ = level.Info(r.Logger).Log("msg", "account is within its limit again", "account", account, "offered_per_second", int(rate))
}

// link is the stream to the owner of a group.
type link struct {
	open   func(ctx context.Context, member string) (net.Conn, error)
	owner  string
	stream net.Conn
}

// exchange sends a report and reads its answer. After an error the stream is closed,
// so that no late answer is taken for that to another report.
func (l *link) exchange(ctx context.Context, now time.Time, owner string, report *Report) (*Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	if l.owner != owner {
		l.close()
	}
	if l.stream == nil {
		stream, err := l.open(ctx, owner)
		if err != nil {
			return nil, errors.Wrap(err, "open")
		}
		l.owner, l.stream = owner, stream
	}
	_ = l.stream.SetDeadline(now.Add(exchangeTimeout))
	_, err := encoder.Write(l.stream, report)
	var answer *Answer
	if err == nil {
		answer, err = encoder.Read[Answer](l.stream, maxFrameBytes)
	}
	if err != nil {
		l.close()
		return nil, errors.Wrap(err, "exchange")
	}
	return answer, nil
}

func (l *link) close() {
	if l.stream != nil {
		_ = l.stream.Close()
		l.stream = nil
	}
}
