package rationer

import (
	"fmt"
	"testing"
	"time"

	"sycamorerun"
)

// BenchmarkCharge measures a decision: for an account within its limit, for one beyond
// it, and for one within it while another asks for ten times its rate.
func BenchmarkCharge(b *testing.B) {
	for _, count := range []int{100, 100_000} {
		accounts := map[string]sycamorerun.Account{"within": {Rate: 1e12, Burst: 1}, "beyond": {Rate: 0.001}}
		for i := range count {
			accounts[fmt.Sprintf("account-%d", i)] = sycamorerun.Account{Rate: 10, Burst: 10}
		}
		ledger, now := joinedLedger(2, accounts)
		run := func(name string, refusals int) {
			b.Run(fmt.Sprintf("%s, %d accounts", name, count), func(b *testing.B) {
				b.ReportAllocs()
				for i := range b.N {
					at := now.Add(time.Duration(i) * time.Microsecond)
					for range refusals {
						ledger.Charge(at, "beyond")
					}
					if refusals == 0 || name != "refused" {
						ledger.Charge(at, "within")
					}
				}
			})
		}
		run("admitted", 0)
		run("refused", 1)
		run("admitted with nine refusals", 9)
	}
}

// BenchmarkServe measures what a report of eight accounts costs the owner.
func BenchmarkServe(b *testing.B) {
	accounts := map[string]sycamorerun.Account{}
	report := &Report{LeaseMs: uint32(activeLease.Milliseconds()), Members: 89}
	for i := 0; len(report.Accounts) < 8; i++ {
		name := fmt.Sprintf("account-%d", i)
		accounts[name] = sycamorerun.Account{Rate: 1000, Burst: 1000}
		if groupOf(name) == 0 {
			report.Accounts = append(report.Accounts, name)
		}
	}
	numbers := []uint32{1, 1, 1, 1, 1, 1, 1, 1}
	report.Advanced, report.Settled, report.Returned, report.Offered, report.Wanted = numbers, numbers, numbers, numbers, numbers
	pool := NewPool(modelStart, "n000", testTerms)
	pool.SetAccounts(accounts)
	b.ReportAllocs()
	for i := range b.N {
		pool.Serve(modelStart.Add(time.Duration(i)*time.Millisecond), fmt.Sprintf("n%03d", i%89), report)
	}
	b.ReportMetric(float64(size(report)), "B/report")
}
