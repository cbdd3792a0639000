package rationer

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"sycamorerun"
)

// policyAccounts are accounts of which the smallest sends fewer requests in a window
// than a large fleet has nodes.
var policyAccounts = map[string]sycamorerun.Account{
	"a": {Rate: 4, Burst: 4}, "b": {Rate: 20, Burst: 20}, "c": {Rate: 100, Burst: 100}, "d": {Rate: 800, Burst: 800},
}

var policyNames = []string{"a", "b", "c", "d"}

// fixedShares gives each node an equal bucket.
func fixedShares(m *model) func(i int, account string) bool {
	buckets := map[string]*centralBucket{}
	return func(i int, account string) bool {
		limit := m.terms.limit(m.accounts[account])
		share := sycamorerun.Account{Rate: limit.rate / float64(len(m.nodes)), Burst: limit.depth / float64(len(m.nodes))}
		key := fmt.Sprint(account, i)
		if buckets[key] == nil {
			buckets[key] = &centralBucket{level: share.Burst, updatedAt: modelStart}
		}
		return buckets[key].take(m.now, share)
	}
}

// gossipDelay is the time until all nodes know a request: a period and four hops.
const gossipDelay = reportPeriod + 4*20*time.Millisecond

// gossipOfUse lets each node count all requests that it has heard of.
func gossipOfUse(m *model) func(i int, account string) bool {
	type use struct {
		at   time.Time
		node int
	}
	uses := map[string][]use{}
	return func(i int, account string) bool {
		recent, known := uses[account], 0
		for len(recent) > 0 && !recent[0].at.After(m.now.Add(-m.terms.Window)) {
			recent = recent[1:]
		}
		for _, u := range recent {
			if u.node == i || m.now.Sub(u.at) >= gossipDelay {
				known++
			}
		}
		admitted := float64(known+1) <= m.terms.bound(m.accounts[account])
		if admitted {
			recent = append(recent, use{m.now, i})
		}
		uses[account] = recent
		return admitted
	}
}

// BenchmarkPolicies compares fixed shares, gossip of use and grants on a calm day at
// nine tenths of the rate and on one with eight times the usual use from one moment on.
// It reports the worst part of the quota that is admitted, and the largest window as a
// part of the bound.
func BenchmarkPolicies(b *testing.B) {
	policies := map[string]func(m *model) func(int, string) bool{"fixed": fixedShares, "gossip": gossipOfUse, "grants": nil}
	for name, policy := range policies {
		for _, count := range []int{12, 89, 300} {
			b.Run(fmt.Sprintf("%s, %d nodes", name, count), func(b *testing.B) {
				for range b.N {
					worst, largest := 1.0, 0.0
					var messages, bytes float64
					for _, shape := range shapeNames {
						m := newModel(1, count, testTerms, nil)
						m.unchecked = true
						m.setAccounts(policyAccounts)
						if policy != nil {
							m.charge = policy(m)
						}
						_ = m.run(8 * time.Second)
						m.callAll(shape, 0.9)
						sent, size := m.messages, m.bytes
						_ = m.run(10 * time.Second)
						if shape == "even" {
							messages, bytes = float64(m.messages-sent)/10, float64(m.bytes-size)/10
						}
						for _, account := range policyNames {
							worst = min(worst, float64(m.passed[account])/float64(m.inside[account]))
						}
						m.callAll(shape, 5)
						_ = m.run(6 * time.Second)
						for _, account := range policyNames {
							largest = max(largest, float64(m.peak[account])/m.terms.bound(m.accounts[account]))
						}
					}
					b.ReportMetric(worst, "admitted")
					b.ReportMetric(largest, "of-bound")
					b.ReportMetric(messages/float64(count), "messages/s/node")
					b.ReportMetric(bytes/float64(count), "B/s/node")
				}
			})
		}
	}
}

// callAll lets all accounts ask for a multiple of their rate.
func (m *model) callAll(shape string, factor float64) {
	m.callers = nil
	for _, name := range policyNames {
		m.callers = append(m.callers, modelCallers{account: name, rate: factor * m.accounts[name].Rate, pick: shapes[shape](m)})
	}
}

// size returns the bytes of a message on a stream, with its length.
func size(message proto.Message) int { return proto.Size(message) + 4 }
