package rationer

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"sycamorerun"
)

var testTerms = Terms{Window: 5 * time.Second, Overage: 0.1, Slack: 20}

// TestLimit guards against a limit that admits more than the bound in a window.
func TestLimit(t *testing.T) {
	cases := map[string]struct {
		account sycamorerun.Account
		terms   Terms
	}{
		"rate alone":         {sycamorerun.Account{Rate: 10}, Terms{Window: 5 * time.Second}},
		"rate and burst":     {sycamorerun.Account{Rate: 10, Burst: 10}, Terms{Window: 5 * time.Second}},
		"overage and slack":  {sycamorerun.Account{Rate: 800, Burst: 800}, testTerms},
		"less than one each": {sycamorerun.Account{Rate: 0.1, Burst: 1}, testTerms},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			limit := c.terms.limit(c.account)
			bound := (c.account.Rate*5+c.account.Burst)*(1+c.terms.Overage) + c.terms.Slack
			is.True(limit.rate*5+limit.depth <= bound*(1+1e-9))
			is.True(limit.rate >= 0.9*c.account.Rate*(1-1e-9)) // the rate itself is nearly used
			for _, members := range []int{1, 12, 9800} {
				is.True(limit.pool(members) >= limit.depth/2)
			}
		})
	}
}

// joinedLedger returns a ledger that knows count members, long after its start, and a
// pool that has served it.
func joinedLedger(count int, accounts map[string]sycamorerun.Account) (*Ledger, time.Time) {
	ledger := NewLedger(modelStart, "n000", testTerms)
	ledger.SetAccounts(accounts)
	members := make([]string, count)
	for i := range members {
		members[i] = string(rune('a' + i))
	}
	members[0] = "n000"
	ledger.SetMembers(modelStart, members)
	return ledger, modelStart.Add(time.Minute)
}

func charge(ledger *Ledger, now time.Time, account string, count int) (admitted int) {
	for range count {
		if _, ok := ledger.Charge(now, account); ok {
			admitted++
		}
	}
	return admitted
}

// TestStart guards against a burst for a node that has just started, and against a node
// that knows no other member and takes the whole rate at once.
func TestStart(t *testing.T) {
	accounts := map[string]sycamorerun.Account{"a": {Rate: 100, Burst: 100}}
	cases := map[string]struct {
		members  int
		uptime   time.Duration
		least    int
		greatest int
	}{
		"at the start":                   {10, 0, 0, 0},
		"before the members are known":   {10, growthPause, 0, 0},
		"own share once they are":        {10, growthPause + time.Second, 8, 10},
		"alone, before others may join":  {1, aloneDelay, 0, 0},
		"alone, with the whole rate":     {1, aloneDelay + time.Second, 50, 100},
		"share of a long time unclaimed": {10, time.Hour, 8, 20},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ledger, _ := joinedLedger(c.members, accounts)
			charge(ledger, modelStart, "a", 1) // the account is known from the start
			admitted := charge(ledger, modelStart.Add(c.uptime), "a", 1000)
			is.True(admitted >= c.least)
			is.True(admitted <= c.greatest)
		})
	}
}

// TestLowerLimit guards against tokens and shares of a higher limit that outlast a
// change to a lower one.
func TestLowerLimit(t *testing.T) {
	is := is.New(t)
	ledger, now := joinedLedger(2, map[string]sycamorerun.Account{"a": {Rate: 1000, Burst: 1000}})
	charge(ledger, modelStart.Add(joinDelay), "a", 1)
	is.True(charge(ledger, now, "a", 100) == 100)
	ledger.SetAccounts(map[string]sycamorerun.Account{"a": {Rate: 1, Burst: 1}})
	is.Equal(charge(ledger, now, "a", 100), 0)
}

// TestNoRates guards against messages and state in a fleet without rates.
func TestNoRates(t *testing.T) {
	is := is.New(t)
	ledger, now := joinedLedger(2, map[string]sycamorerun.Account{"a": {}})
	is.Equal(charge(ledger, now, "a", 10), 10)
	is.Equal(len(ledger.stocks), 0)
	for group := range groupCount {
		_, _, ok := ledger.Due(now, group)
		is.True(!ok)
		is.Equal(ledger.wait(now, group), pausedWait)
	}
}

// TestRetryAfter guards against callers that return at one moment.
func TestRetryAfter(t *testing.T) {
	is := is.New(t)
	ledger, now := joinedLedger(10, map[string]sycamorerun.Account{"a": {Rate: 10, Burst: 10}})
	charge(ledger, now, "a", 1000)
	seen := map[time.Duration]bool{}
	for range 100 {
		wait, ok := ledger.Charge(now, "a")
		is.True(!ok)
		is.True(wait >= time.Second && wait <= 2*time.Second) // the share of one node is one a second
		seen[wait] = true
	}
	is.True(len(seen) > 90)
}

// TestInvalidReports guards against a panic and against answers of a node that does not
// own the group.
func TestInvalidReports(t *testing.T) {
	cases := map[string]*Report{
		"unknown group":     {Group: groupCount},
		"missing numbers":   {Group: 0, Accounts: []string{"a"}},
		"numbers of others": {Group: 0, Accounts: []string{"a"}, Advanced: []uint32{1, 2}, Settled: []uint32{0}, Returned: []uint32{0}, Offered: []uint32{0}, Wanted: []uint32{0}},
	}
	for name, report := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			pool := NewPool(modelStart, "n000", testTerms)
			is.True(pool.Serve(modelStart.Add(time.Hour), "n001", report).GetRefused())
		})
	}
}

// TestUpdate guards against limits that do not follow the versions.
func TestUpdate(t *testing.T) {
	item := func(account sycamorerun.Account) sycamorerun.Item {
		encoded, _ := json.Marshal(account)
		return encoded
	}
	path := sycamorerun.NewPath("team", sycamorerun.KindAccount, "a")
	other := sycamorerun.NewPath("team", sycamorerun.KindRoute, "r")
	is := is.New(t)
	decoded := decodedAccounts{}
	steps := []struct {
		items   map[sycamorerun.Path]sycamorerun.Item
		changed bool
		rate    float64
	}{
		{map[sycamorerun.Path]sycamorerun.Item{other: item(sycamorerun.Account{})}, false, 0},
		{map[sycamorerun.Path]sycamorerun.Item{path: item(sycamorerun.Account{Rate: 5})}, true, 5},
		{map[sycamorerun.Path]sycamorerun.Item{path: item(sycamorerun.Account{Rate: 5, Rank: 2})}, false, 5},
		{map[sycamorerun.Path]sycamorerun.Item{path: item(sycamorerun.Account{Rate: 2})}, true, 2},
		{nil, true, 0},
	}
	for _, step := range steps {
		is.Equal(decoded.update(step.items), step.changed)
		is.Equal(decoded.limited()["a"].Rate, step.rate)
	}
}

// TestRate guards against shares of the slots that do not follow the versions.
func TestRate(t *testing.T) {
	is := is.New(t)
	r := New(modelStart, "n000", testTerms)
	is.Equal(r.Rate("a"), 0.0)
	r.Update(accountItems(is, map[string]float64{"a": 10, "b": 0}))
	is.Equal(r.Rate("a"), 10.0)
	is.Equal(r.Rate("b"), 0.0)
	r.Update(accountItems(is, map[string]float64{"b": 5}))
	is.Equal(r.Rate("a"), 0.0)
	is.Equal(r.Rate("b"), 5.0)
}

func accountItems(is *is.I, rates map[string]float64) map[sycamorerun.Path]sycamorerun.Item {
	items := map[sycamorerun.Path]sycamorerun.Item{}
	for name, rate := range rates {
		item, err := json.Marshal(sycamorerun.Account{Rate: rate})
		is.NoErr(err)
		items[sycamorerun.NewPath("t", sycamorerun.KindAccount, name)] = item
	}
	return items
}

// TestLogsLimit guards against an account that enters or leaves its limit unnoticed or
// more than once.
func TestLogsLimit(t *testing.T) {
	is := is.New(t)
	var events []bool
	m := newModel(1, 3, testTerms, nil)
	m.setAccounts(map[string]sycamorerun.Account{"a": {Rate: 50, Burst: 50}})
	for _, n := range m.nodes {
		n.pool.Limited = func(account string, limited bool, _ float64) {
			is.Equal(account, "a")
			events = append(events, limited)
		}
	}
	load := func(rate float64, length time.Duration) {
		m.callers = []modelCallers{{account: "a", rate: rate, pick: shapes["even"](m)}}
		is.NoErr(m.run(length))
	}
	load(25, 8*time.Second)
	is.Equal(events, nil)
	load(500, 5*time.Second)
	is.Equal(events, []bool{true})
	load(25, 12*time.Second)
	is.Equal(events, []bool{true, false})
}

// TestTransport guards against reports that do not reach the owner over a stream.
func TestTransport(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	defer tasks.Wait()
	defer cancel()
	start := time.Now().Add(-time.Minute)
	nodes := map[string]*Rationer{"a": New(start, "a", testTerms), "b": New(start, "b", testTerms)}
	items := map[sycamorerun.Path]sycamorerun.Item{}
	for _, name := range []string{"x", "y", "z", "u"} {
		items[sycamorerun.NewPath("team", sycamorerun.KindAccount, name)] = sycamorerun.Item(`{"rate":100,"burst":100}`)
	}
	for name, r := range nodes {
		r.Open = func(_ context.Context, member string) (net.Conn, error) {
			near, far := net.Pipe()
			tasks.Go(func() { nodes[member].Serve(name, far) })
			return near, nil
		}
		r.Update(items)
		r.SetMembers(time.Now(), []string{"a", "b"})
	}
	for _, r := range nodes {
		tasks.Go(func() { _ = r.Run(ctx) })
	}
	answered := func() bool {
		for _, r := range nodes {
			for group := range groupCount {
				r.ledger.mutex.Lock()
				ok := r.ledger.groups[group].answered
				r.ledger.mutex.Unlock()
				if !ok {
					return false
				}
			}
		}
		return true
	}
	for deadline := time.Now().Add(5 * time.Second); !answered() && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	is.True(answered())
}
