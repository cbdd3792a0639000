package rationer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sycamorerun"
)

// ownerFixture returns the pool of a fleet of one node that lends its share, and a
// function that asks for tokens of an account at a time after the start of the lease.
func ownerFixture(account sycamorerun.Account) (*Pool, limit, func(after time.Duration, wanted, settled uint32) int) {
	start := modelStart.Add(time.Hour)
	pool := NewPool(modelStart, "n000", testTerms)
	pool.Random = func() float64 { return 0 }
	pool.SetAccounts(map[string]sycamorerun.Account{"a": account})
	pool.SetMembers(modelStart, 1)
	epoch, last := uint32(0), time.Duration(0)
	ask := func(after time.Duration, wanted, settled uint32) int {
		answer := pool.Serve(start.Add(after), "n000", &Report{
			Group: uint32(groupOf("a")), LeaseMs: uint32(idleLease.Milliseconds()), Accounts: []string{"a"},
			Advanced: []uint32{0}, Settled: []uint32{settled}, Returned: []uint32{0}, Offered: []uint32{wanted}, Wanted: []uint32{wanted},
			SinceMs: uint32((after - last).Milliseconds()), Epoch: epoch,
		})
		epoch, last = answer.GetEpoch(), after
		return int(answer.GetGranted()[0])
	}
	return pool, testTerms.limit(account), ask
}

// TestNewOwner guards against a second burst from an owner that has just begun.
func TestNewOwner(t *testing.T) {
	is := is.New(t)
	_, limit, ask := ownerFixture(sycamorerun.Account{Rate: 100, Burst: 100})
	is.Equal(ask(0, 10_000, 0), 0)
	total := 0
	for after := 100 * time.Millisecond; after <= time.Second; after += 100 * time.Millisecond {
		total += ask(after, 10_000, 0)
	}
	is.True(float64(total) <= limit.rate-limit.reserve(1))
	is.True(total > 0)
}

// TestAccountComesBack guards against a second burst of an account that one version
// removes and the next one adds again.
func TestAccountComesBack(t *testing.T) {
	is := is.New(t)
	account := sycamorerun.Account{Rate: 5, Burst: 500}
	pool, limit, ask := ownerFixture(account)
	after := time.Duration(0)
	for ; after < 3*time.Minute; after += 100 * time.Millisecond {
		ask(after, 0, 0)
	}
	is.True(ask(after, 10_000, 0) > int(limit.pool(1))-2) // the whole burst
	pool.SetAccounts(nil)
	pool.SetAccounts(map[string]sycamorerun.Account{"a": account})
	after += 2 * grantLifetime // the tokens granted before have expired
	is.True(float64(ask(after, 10_000, 0)) <= limit.rate*2*grantLifetime.Seconds())
}

// TestRemovedAccounts guards against buckets that are kept forever, or for a time in
// which a new one would not be full.
func TestRemovedAccounts(t *testing.T) {
	is := is.New(t)
	pool, _, ask := ownerFixture(sycamorerun.Account{Rate: 100, Burst: 100})
	ask(0, 10_000, 0)
	pool.SetAccounts(nil)
	buckets := func() int { return len(pool.groups[groupOf("a")].buckets) }
	ask(2*pruneInterval, 0, 0)
	is.Equal(buckets(), 1)
	ask(2*pruneInterval+maxFilled, 0, 0)
	is.Equal(buckets(), 0)
}

// TestOutstanding guards against tokens that are granted while those granted before
// may still be used: together they never exceed the pool.
func TestOutstanding(t *testing.T) {
	cases := map[string]struct {
		settled  bool
		least    int
		greatest int
	}{
		"not known to be used": {false, 0, 1},
		"used":                 {true, 39, 41}, // what 400 ms fill
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, limit, ask := ownerFixture(sycamorerun.Account{Rate: 100, Burst: 100})
			ask(0, 0, 0)
			first := ask(4*time.Second, 10_000, 0)
			is.Equal(first, int(limit.pool(1)))
			settled := uint32(0)
			if c.settled {
				settled = uint32(first)
			}
			ask(4*time.Second+100*time.Millisecond, 0, settled)
			second := ask(4*time.Second+500*time.Millisecond, 10_000, 0)
			is.True(second >= c.least)
			is.True(second <= c.greatest)
		})
	}
}

// TestChangeOfOwner guards against a share that two owners use: a node ends the lease of
// the present owner before it lends the share to another.
func TestChangeOfOwner(t *testing.T) {
	is := is.New(t)
	members := []string{"a", "b", "c", "n000"}
	first := candidatesOf(0, members)[0]
	var others []string
	for _, name := range members {
		if name != first {
			others = append(others, name)
		}
	}
	ledger := NewLedger(modelStart, "n000", testTerms)
	ledger.SetAccounts(map[string]sycamorerun.Account{"a": {Rate: 10}})
	now := modelStart.Add(time.Minute)
	ledger.SetMembers(now, others)
	previous, _, ok := ledger.Due(now, 0)
	is.True(ok)
	ledger.Answered(now, 0, previous, &Answer{Epoch: 1})

	ledger.SetMembers(now, members)
	now = now.Add(idlePeriod)
	owner, report, ok := ledger.Due(now, 0)
	is.True(ok)
	is.Equal(owner, previous)
	is.Equal(report.GetLeaseMs(), uint32(0))
	ledger.Answered(now, 0, previous, &Answer{Epoch: 1})
	owner, report, ok = ledger.Due(now, 0)
	is.True(ok)
	is.Equal(owner, first)
	is.True(report.GetLeaseMs() > 0)
}

// TestOwnerFails guards against a share that is lent to another owner before the lease
// has ended, against a node that stays with an owner that does not answer, and against
// reports without a pause while all candidates fail at once.
func TestOwnerFails(t *testing.T) {
	is := is.New(t)
	members := []string{"a", "b", "c", "n000"}
	candidates := candidatesOf(0, members)
	ledger := NewLedger(modelStart, "n000", testTerms)
	ledger.SetAccounts(map[string]sycamorerun.Account{"a": {Rate: 10}})
	now := modelStart.Add(time.Minute)
	ledger.SetMembers(now, members)
	_, report, _ := ledger.Due(now, 0)
	ledger.Answered(now, 0, candidates[0], &Answer{Epoch: 1})
	end := now.Add(time.Duration(report.GetLeaseMs())*time.Millisecond + leaseMargin)
	asked, reports := map[string]bool{}, 0
	for ; now.Before(end.Add(2 * time.Second)); now = now.Add(10 * time.Millisecond) {
		owner, _, ok := ledger.Due(now, 0)
		if !ok {
			continue
		}
		is.True(owner == candidates[0] || !now.Before(end))
		asked[owner] = true
		reports++
		ledger.Failed(now, 0, owner)
	}
	is.True(reports <= int(now.Sub(modelStart.Add(time.Minute))/reportPeriod)+1)
	is.True(asked[candidates[1]])
}
