package rationer

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"sycamorerun"
)

var (
	seeds     = flag.Int("seeds", 40, "number of seeds of the property test")
	firstSeed = flag.Uint64("first-seed", 1, "first seed of the property test")
)

// shapes are the ways in which requests of an account enter.
var shapes = map[string]func(m *model) func() int{
	"even":     func(m *model) func() int { return func() int { return m.random.IntN(len(m.nodes)) } },
	"one zone": func(m *model) func() int { return func() int { return m.random.IntN(max(1, len(m.nodes)/6)) } },
	"uneven": func(m *model) func() int {
		return func() int { return m.random.IntN(1 + m.random.IntN(len(m.nodes))) }
	},
	"moving": func(m *model) func() int {
		return func() int {
			base := int(m.now.Sub(modelStart) / (300 * time.Millisecond))
			return (base + m.random.IntN(1+len(m.nodes)/6)) % len(m.nodes)
		}
	},
}

var shapeNames = []string{"even", "one zone", "uneven", "moving"}

// playFaults runs a fleet with cuts, restarts, changed limits and callers that ask for
// up to eight times their rate.
func playFaults(seed uint64) (*model, error) {
	terms := Terms{Window: 5 * time.Second, Overage: 0.1, Slack: 20}
	if seed%3 == 0 {
		terms.Overage, terms.Slack = 0, 0
	}
	m := newModel(seed, 3+int(seed%22), terms, nil)
	// The reserve of these accounts covers the allowance of each node.
	least := minAllowance / maxReserveFraction * float64(len(m.nodes))
	m.setAccounts(map[string]sycamorerun.Account{
		"small": {Rate: least, Burst: least}, "medium": {Rate: 2 * least, Burst: least}, "large": {Rate: 6 * least, Burst: 6 * least},
	})
	if err := m.run(4 * time.Second); err != nil {
		return m, err
	}
	for range 4 {
		m.changeCallers()
		m.fault()
		if err := m.run(m.between(time.Second, 5*time.Second)); err != nil {
			return m, err
		}
	}
	return m, nil
}

func (m *model) setAccounts(accounts map[string]sycamorerun.Account) {
	m.accounts = accounts
	for _, n := range m.nodes {
		n.ledger.SetAccounts(accounts)
		n.pool.SetAccounts(accounts)
	}
}

func (m *model) changeCallers() {
	m.callers = nil
	for _, name := range []string{"small", "medium", "large"} {
		factor := []float64{0.6, 0.9, 2, 5}[m.random.IntN(4)]
		shape := shapes[shapeNames[m.random.IntN(len(shapeNames))]]
		m.callers = append(m.callers, modelCallers{account: name, rate: factor * m.accounts[name].Rate, pick: shape(m)})
	}
}

// fault cuts, heals, stops or kills some or all nodes.
func (m *model) fault() {
	share := []float64{0.2, 0.5, 1}[m.random.IntN(3)]
	kind := m.random.IntN(5)
	spared := map[int]bool{}
	for i, n := range m.nodes {
		switch {
		case (kind == 1 || kind == 4) && m.divided() && !spared[n.island] && m.knows(n):
			spared[n.island] = true
		case kind == 0:
			m.cut(i, 0)
		case m.random.Float64() >= share:
		case kind == 1:
			m.kill(i, m.between(300*time.Millisecond, 3*time.Second))
		case kind == 2:
			m.cut(i, 1+m.random.IntN(2))
		case kind == 4:
			m.leave(i, m.between(500*time.Millisecond, 3*time.Second), m.between(300*time.Millisecond, 3*time.Second))
		default:
			m.cut(i, 1+i)
		}
	}
	m.joinUnknowing()
	m.gain()
	m.loss()
}

// knows reports whether a node runs and knows how large the fleet is.
func (m *model) knows(n *modelNode) bool { return !n.down && n.ledger.count >= len(m.nodes) }

// joinUnknowing heals the cut around parts of the fleet in which no node knows how
// large the fleet is. A part that was cut off and restarted as a whole can't know it,
// unless it is a single node, which waits.
func (m *model) joinUnknowing() {
	knowing, size := map[int]bool{}, map[int]int{}
	refuge := 0
	for _, n := range m.nodes {
		size[n.island]++
		if m.knows(n) {
			knowing[n.island], refuge = true, n.island
		}
	}
	for i, n := range m.nodes {
		if !knowing[n.island] && (size[n.island] > 1 || len(knowing) == 0) {
			m.cut(i, refuge)
		}
	}
}

// divided reports whether some nodes are cut off.
func (m *model) divided() bool {
	for _, n := range m.nodes {
		if n.island != 0 {
			return true
		}
	}
	return false
}

// TestBoundHolds guards against more requests than the bound in some sliding window,
// with cuts and restarts at any moment.
func TestBoundHolds(t *testing.T) {
	for i := range *seeds {
		seed := *firstSeed + uint64(i)
		if m, err := playFaults(seed); err != nil {
			t.Errorf("seed %d, %d nodes: %v", seed, len(m.nodes), err)
		}
	}
}

// TestCalmAdmits guards against refusals inside the quota while nothing fails: at nine
// tenths of the rate, each account gets what a bucket in one place would admit.
func TestCalmAdmits(t *testing.T) {
	for _, shape := range shapeNames {
		for _, count := range []int{6, 12, 24, 89} {
			t.Run(fmt.Sprintf("%s, %d nodes", shape, count), func(t *testing.T) {
				m := newModel(uint64(count), count, Terms{Window: 5 * time.Second, Overage: 0.1, Slack: 20}, nil)
				m.setAccounts(policyAccounts)
				if err := m.run(8 * time.Second); err != nil {
					t.Fatal(err)
				}
				m.callAll(shape, 0.9)
				if err := m.run(20 * time.Second); err != nil {
					t.Fatal(err)
				}
				for name := range m.accounts {
					if share := float64(m.passed[name]) / float64(m.inside[name]); share < 0.98 {
						t.Errorf("account %s: %.4f of %d admitted", name, share, m.inside[name])
					}
				}
			})
		}
	}
}

// TestOverloadAdmits guards against an account that gets less than its rate while it
// asks for more, at many nodes of which each has less than a request in a while: tokens
// that wait at nodes must not keep the bucket of the owner from filling.
func TestOverloadAdmits(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			m := newModel(seed, 89, testTerms, nil)
			m.setAccounts(map[string]sycamorerun.Account{"a": {Rate: 105, Burst: 105}})
			m.unchecked = true
			play := func(factor float64, length time.Duration) (admitted, inside int) {
				m.callers = []modelCallers{{account: "a", rate: factor * 81, pick: shapes["even"](m)}}
				admitted, inside = m.passed["a"], m.inside["a"]
				if err := m.run(length); err != nil {
					t.Error(err)
				}
				return m.passed["a"] - admitted, m.inside["a"] - inside
			}
			play(0, 8*time.Second)
			play(3, 3*time.Second)
			m.setAccounts(map[string]sycamorerun.Account{"a": {Rate: 81, Burst: 81}})
			play(3, m.terms.Window)
			m.unchecked = false
			for _, factor := range []float64{3, 1.3} {
				if admitted, inside := play(factor, 15*time.Second); float64(admitted) < 0.95*float64(inside) {
					t.Errorf("at %v times the rate: %d of %d admitted", factor, admitted, inside)
				}
			}
		})
	}
}
