// Package rationer enforces the rates of client accounts over all nodes. An owner
// for each group of accounts grants tokens to the nodes on demand; no request waits
// for a message.
package rationer

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"sycamorerun"
)

const (
	// groupCount is the number of groups of accounts. Each group has an owner, and a
	// node sends a report to each owner, so that few groups keep the messages few.
	groupCount = 2
	// maxCandidates is the number of members that a node tries as owner of a group. A
	// part of the fleet that is cut off most likely has one of them.
	maxCandidates = 16
	// minDepthFraction is the smallest part of the bound that may be admitted at
	// once. Tokens that wait at nodes for a request come from it. If the bound leaves
	// less, tokens are granted at a lower rate.
	minDepthFraction = 0.1
	// reserveFraction is the part of the depth for requests that nodes admit without
	// a token. It is larger, up to maxReserveFraction, if goodAllowance for each node
	// takes more.
	reserveFraction    = 1.0 / 3
	maxReserveFraction = 0.5
)

// Terms are the terms on which the rates of all accounts hold: in any sliding Window
// at most (rate x Window + burst) x (1 + Overage) + Slack requests of an account.
type Terms struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}

// bound returns the number of requests that all nodes may admit in a window.
func (t Terms) bound(account sycamorerun.Account) float64 {
	return (account.Rate*t.Window.Seconds()+account.Burst)*(1+t.Overage) + t.Slack
}

// limit is the part of the bound that is refilled and the part that may be used at
// once.
type limit struct {
	// rate is the number of tokens a second, and depth the number of requests that
	// may be admitted at once.
	rate, depth float64
}

// limit returns the limit of an account. A token bucket with the rate and depth of
// the limit admits at most the bound in any window.
func (t Terms) limit(account sycamorerun.Account) limit {
	bound := t.bound(account)
	depth := max(bound-account.Rate*t.Window.Seconds(), minDepthFraction*bound)
	return limit{rate: (bound - depth) / t.Window.Seconds(), depth: depth}
}

// reserve returns the number of requests that all members together admit before the
// owner knows.
func (l limit) reserve(members int) float64 {
	return max(reserveFraction*l.depth, min(maxReserveFraction*l.depth, float64(goodAllowance*members)))
}

// pool returns the number of tokens that the owner may grant at once.
func (l limit) pool(members int) float64 { return l.depth - l.reserve(members) }

// allowance returns the number of requests that each member admits without a token
// between two answers.
func (l limit) allowance(members int) int {
	return max(minAllowance, int(l.reserve(members))/members)
}

// covers reports whether the reserve covers the allowance of each member. If it does
// not, a member can't know that it is the first to see the account, and the reserve
// has to cover the requests that arrive before the members have heard of them.
func (l limit) covers(members int) bool { return l.reserve(members) >= float64(minAllowance*members) }

// levelAfter returns the level of the bucket of an owner that has filled it for a time.
// It begins with the reserve missing, since the requests that nodes have admitted
// without the knowledge of the previous owner are at most that many.
func (l limit) levelAfter(filled time.Duration, members int) float64 {
	level := l.rate * filled.Seconds()
	if l.covers(members) {
		level -= l.reserve(members)
	}
	return min(level, l.pool(members))
}

// groupOf returns the group of an account.
func groupOf(account string) int { return int(xxhash.Sum64String(account) % groupCount) }

// candidatesOf returns the members that may own a group, by rendezvous hashing, so that
// a change of the members moves only the groups of the members that changed. members
// must not be empty.
func candidatesOf(group int, members []string) []string {
	hashes := make(map[string]uint64, len(members))
	for _, name := range members {
		var digest xxhash.Digest
		digest.ResetWithSeed(uint64(group))
		_, _ = digest.WriteString(name)
		hashes[name] = digest.Sum64()
	}
	candidates := slices.Clone(members)
	slices.SortFunc(candidates, func(a, b string) int {
		return cmp.Or(cmp.Compare(hashes[b], hashes[a]), cmp.Compare(a, b))
	})
	return candidates[:min(len(candidates), maxCandidates)]
}
