package limiter

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// sharedLoad is the load of an upstream by accounts that send calls of 100 ms.
type sharedLoad struct {
	// rates are the calls a second of the accounts and weights their shares; without
	// weights all are equal.
	rates, weights []float64
	// unnamed says that the limiter does not know the accounts.
	unnamed bool
}

// play plays the load for 20 s on 6 slots, 60 calls a second, and returns the
// share of the calls of each account that were served, and of all.
func (s sharedLoad) play(t *testing.T) (served []float64, overall float64) {
	counters := make([]counter, len(s.rates))
	synctest.Test(t, func(t *testing.T) {
		l := New(Limits{Slots: 6, Queue: 24})
		l.Weight = func(name string) float64 {
			var at int
			_, _ = fmt.Sscanf(name, "account-%d", &at)
			return s.weights[at]
		}
		if s.weights == nil {
			l.Weight = func(string) float64 { return 0 }
		}
		var group sync.WaitGroup
		end := time.Now().Add(20 * time.Second)
		for at, rate := range s.rates {
			random := rand.New(rand.NewPCG(uint64(at), 1))
			group.Go(func() {
				for time.Now().Before(end) {
					time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
					group.Go(func() {
						request := Request{Rank: 2, Objective: 600 * time.Millisecond, Account: fmt.Sprintf("account-%d", at)}
						if s.unnamed {
							request.Account = ""
						}
						release, refusal := l.Acquire(t.Context(), time.Now(), request)
						if refusal.Reason == "" {
							time.Sleep(100 * time.Millisecond)
							release()
						}
						counters[at].add(refusal.Reason == "")
					})
				}
			})
		}
		group.Wait()
	})
	var all counter
	for at := range counters {
		all.asked += counters[at].asked
		all.succeeded += counters[at].succeeded
		served = append(served, counters[at].share())
	}
	return served, all.share()
}

// equalRates returns the rates of accounts that use 0.8 of the slots together, of
// which the first sends a multiple of its usual.
func equalRates(factor float64) []float64 {
	rates := make([]float64, 12)
	for at := range rates {
		rates[at] = 4
	}
	rates[0] *= factor
	return rates
}

// TestAccountsShareSlots guards against an account that takes room from others of its
// rank by sending many times its usual, and against accounts that starve. Without
// accounts the others are served as badly as the one that sends too much.
func TestAccountsShareSlots(t *testing.T) {
	cases := map[string]struct {
		load sharedLoad
		// minOthers and maxFirst bound the served shares of the first account and of
		// the others.
		minOthers, minFirst, maxFirst float64
	}{
		"enough room":                   {load: sharedLoad{rates: equalRates(1)}, minOthers: 0.95, minFirst: 0.95, maxFirst: 1},
		"one sends eight times more":    {load: sharedLoad{rates: equalRates(8)}, minOthers: 0.82, minFirst: 0.3, maxFirst: 0.65},
		"one sends thirty times more":   {load: sharedLoad{rates: equalRates(30)}, minOthers: 0.85, minFirst: 0.1, maxFirst: 0.3},
		"its weight is as large":        {load: sharedLoad{rates: equalRates(8), weights: []float64{8, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1}}, minOthers: 0.5, minFirst: 0.6, maxFirst: 0.85},
		"accounts that are not known":   {load: sharedLoad{rates: equalRates(8), unnamed: true}, minOthers: 0.5, minFirst: 0.6, maxFirst: 0.9},
		"large and small, all too many": {load: sharedLoad{rates: []float64{40, 20, 10, 5, 5, 2, 2, 2, 2, 2}, weights: []float64{40, 20, 10, 5, 5, 2, 2, 2, 2, 2}}, minOthers: 0.5, minFirst: 0.5, maxFirst: 0.9},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			served, overall := c.load.play(t)
			t.Logf("served %.2f, overall %.2f", served, overall)
			is.True(served[0] >= c.minFirst)
			is.True(served[0] <= c.maxFirst)
			for _, share := range served {
				is.True(share >= overall/4)
			}
			for _, share := range served[1:] {
				is.True(share >= c.minOthers)
			}
		})
	}
}

// TestSmallAccount guards against an account that is never served again because one of
// its calls outweighs what accounts may be ahead by, while calls without an account
// fill the queue.
func TestSmallAccount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := New(Limits{Slots: 6, Queue: 24})
		l.Weight = func(account string) float64 {
			return map[string]float64{"large": 100, "small": 1}[account]
		}
		var group sync.WaitGroup
		var small, others counter
		send := func(account string, c *counter) {
			group.Go(func() {
				request := Request{Rank: 2, Account: account}
				release, refusal := l.Acquire(t.Context(), time.Now(), request)
				if refusal.Reason == "" {
					time.Sleep(100 * time.Millisecond)
					release()
				}
				c.add(refusal.Reason == "")
			})
		}
		for range 50 {
			send("large", &counter{})
			time.Sleep(20 * time.Millisecond)
		}
		for at := range 4000 { // 200 calls a second, of which 60 can run
			send("", &others)
			time.Sleep(2 * time.Millisecond)
			if at%20 == 0 {
				send("small", &small)
			}
			time.Sleep(3 * time.Millisecond)
		}
		group.Wait()
		t.Logf("served %.2f of the account's calls, %.2f of the others", small.share(), others.share())
		is.True(small.share() >= others.share()/3)
	})
}

// Guards against state that grows with the number of accounts that ever were.
func TestAccountsAreBounded(t *testing.T) {
	is := is.New(t)
	s := shares{}
	for at := range 3 * maxAccounts {
		s.start(s.tag(fmt.Sprint(at), 1, time.Second, time.Second))
	}
	is.True(len(s.accounts) <= maxAccounts)
}

func BenchmarkAcquire(b *testing.B) {
	cases := map[string]func(at int) string{
		"no account": func(int) string { return "" },
		"1,000 accounts": func() func(int) string {
			var names []string
			for at := range 1000 {
				names = append(names, fmt.Sprint("account-", at))
			}
			return func(at int) string { return names[at%len(names)] }
		}(),
	}
	for name, account := range cases {
		b.Run(name, func(b *testing.B) {
			l := New(Limits{Slots: 8, Queue: 48})
			b.ReportAllocs()
			for at := 0; b.Loop(); at++ {
				release, _ := l.Acquire(b.Context(), time.Now(), Request{Rank: 2, Objective: time.Second, Account: account(at)})
				release()
			}
		})
	}
}
