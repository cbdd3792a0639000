package rationer

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"sycamorerun"
)

const (
	modelStep    = 10 * time.Millisecond
	modelTimeout = exchangeTimeout
)

var modelStart = time.Unix(1000, 0)

// modelNode is a node of the model with the real decisions.
type modelNode struct {
	name   string
	island int
	down   bool
	// leaving is set while the node has left and goes on answering.
	leaving bool
	run     int
	ledger  *Ledger
	pool    *Pool
	view    map[string]bool
}

// modelMessage is a message that is delivered at a time unless a cut is in the way.
type modelMessage struct {
	at      time.Time
	from    int
	to      int
	deliver func()
}

// modelCallers are the callers of one account.
type modelCallers struct {
	account string
	rate    float64
	// pick draws the node at which a request enters.
	pick func() int
}

// model is a fleet with links, time, callers and faults. It checks the bound in each
// sliding window.
type model struct {
	random   *rand.Rand
	now      time.Time
	terms    Terms
	accounts map[string]sycamorerun.Account
	nodes    []*modelNode
	queue    []modelMessage
	callers  []modelCallers
	admitted map[string][]time.Time
	// inside counts the requests that one bucket for the whole fleet would admit.
	inside  map[string]int
	passed  map[string]int
	central map[string]*centralBucket
	peak    map[string]int
	// charge replaces the decisions of the nodes if it is set, and unchecked lets a run
	// go on beyond the bound.
	charge    func(node int, account string) bool
	unchecked bool
	// messages and bytes count what the nodes send to others.
	messages, bytes int
	// reached and since say whether pairs of nodes reach each other and since when.
	reached map[[2]int]bool
	since   map[[2]int]time.Time
}

func newModel(seed uint64, count int, terms Terms, accounts map[string]sycamorerun.Account) *model {
	m := &model{
		random: rand.New(rand.NewPCG(seed, 1)), now: modelStart, terms: terms, accounts: accounts,
		admitted: map[string][]time.Time{}, inside: map[string]int{}, passed: map[string]int{}, central: map[string]*centralBucket{}, peak: map[string]int{},
		reached: map[[2]int]bool{}, since: map[[2]int]time.Time{},
	}
	for i := range count {
		node := &modelNode{name: fmt.Sprintf("n%03d", i)}
		m.nodes = append(m.nodes, node)
	}
	for i := range m.nodes {
		m.start(i)
	}
	return m
}

// start starts a process at node i, which knows only itself.
func (m *model) start(i int) {
	n := m.nodes[i]
	n.down, n.leaving, n.run = false, false, n.run+1
	n.ledger, n.pool = NewLedger(m.now, n.name, m.terms), NewPool(m.now, n.name, m.terms)
	n.ledger.Random, n.pool.Random = m.random.Float64, m.random.Float64
	n.ledger.SetAccounts(m.accounts)
	n.pool.SetAccounts(m.accounts)
	n.view = map[string]bool{n.name: true}
	m.applyView(i)
	m.gain()
}

func (m *model) applyView(i int) {
	n := m.nodes[i]
	var names []string
	for name := range n.view {
		names = append(names, name)
	}
	slices.Sort(names)
	n.ledger.SetMembers(m.now, names)
	n.pool.SetMembers(m.now, len(names))
}

func (m *model) reaches(i, j int) bool {
	return !m.nodes[i].down && !m.nodes[j].down && m.nodes[i].island == m.nodes[j].island
}

// gain lets each node learn of reachable nodes soon, loss of unreachable ones once
// their links have timed out and the suspicion has not been refuted.
func (m *model) gain() { m.refresh(200*time.Millisecond, 1500*time.Millisecond, true) }
func (m *model) loss() { m.refresh(6500*time.Millisecond, 8*time.Second, false) }

func (m *model) refresh(least, most time.Duration, gained bool) {
	m.noteReach()
	for i := range m.nodes {
		run := m.nodes[i].run
		m.at(m.now.Add(m.between(least, most)), func() {
			n := m.nodes[i]
			if n.down || n.run != run {
				return
			}
			for j, other := range m.nodes {
				if i == j || m.reaches(i, j) != gained {
					continue
				}
				if gained && !other.leaving {
					n.view[other.name] = true
				} else if !gained && m.now.Sub(m.since[[2]int{i, j}]) >= least {
					delete(n.view, other.name)
				}
			}
			m.applyView(i)
		})
	}
}

// noteReach notes since when pairs of nodes reach each other or not.
func (m *model) noteReach() {
	for i := range m.nodes {
		for j := range m.nodes {
			pair := [2]int{i, j}
			if reached, known := m.reached[pair]; !known || reached != m.reaches(i, j) {
				m.reached[pair], m.since[pair] = m.reaches(i, j), m.now
			}
		}
	}
}

func (m *model) between(least, most time.Duration) time.Duration {
	return least + time.Duration(m.random.Int64N(int64(most-least)))
}

func (m *model) at(at time.Time, run func()) {
	m.queue = append(m.queue, modelMessage{at: at, from: -1, deliver: run})
}

func (m *model) send(from, to, bytes int, deliver func()) {
	if from != to {
		m.messages++
		m.bytes += bytes
	}
	if !m.reaches(from, to) {
		return
	}
	m.queue = append(m.queue, modelMessage{at: m.now.Add(m.between(time.Millisecond, 30*time.Millisecond)), from: from, to: to, deliver: deliver})
}

func (m *model) kill(i int, downFor time.Duration) {
	m.nodes[i].down = true
	m.loss()
	m.at(m.now.Add(downFor), func() {
		if m.nodes[i].down {
			m.start(i)
		}
	})
}

// leave lets a node tell the others that it leaves. It goes on answering for a while.
func (m *model) leave(i int, drain, downFor time.Duration) {
	m.nodes[i].leaving = true
	run := m.nodes[i].run
	for j := range m.nodes {
		m.at(m.now.Add(m.between(20*time.Millisecond, time.Second)), func() {
			if m.nodes[i].run == run && m.reaches(i, j) && i != j {
				delete(m.nodes[j].view, m.nodes[i].name)
				m.applyView(j)
			}
		})
	}
	m.at(m.now.Add(drain), func() {
		if m.nodes[i].run == run && !m.nodes[i].down {
			m.kill(i, downFor)
		}
	})
}

// cut moves a node to another island.
func (m *model) cut(i, island int) { m.nodes[i].island = island }

// step delivers the messages that are due, lets the nodes report and the callers call.
func (m *model) step() error {
	m.now = m.now.Add(modelStep)
	var due []modelMessage
	m.queue = slices.DeleteFunc(m.queue, func(message modelMessage) bool {
		if message.at.After(m.now) {
			return false
		}
		due = append(due, message)
		return true
	})
	slices.SortStableFunc(due, func(a, b modelMessage) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
	for _, message := range due {
		if message.from < 0 || m.reaches(message.from, message.to) {
			message.deliver()
		}
	}
	for i := range m.nodes {
		if !m.nodes[i].down {
			for group := range groupCount {
				m.report(i, group)
			}
		}
	}
	for _, callers := range m.callers {
		for range m.poisson(callers.rate * modelStep.Seconds()) {
			if err := m.call(callers.pick(), callers.account); err != nil {
				return err
			}
		}
	}
	return nil
}

func (m *model) report(i, group int) {
	n := m.nodes[i]
	owner, report, ok := n.ledger.Due(m.now, group)
	if !ok {
		return
	}
	run, answered := n.run, false
	m.at(m.now.Add(modelTimeout), func() {
		if !answered && n.run == run && !n.down {
			answered = true
			n.ledger.Failed(m.now, group, owner)
		}
	})
	to := slices.IndexFunc(m.nodes, func(node *modelNode) bool { return node.name == owner })
	m.send(i, to, size(report), func() {
		answer := m.nodes[to].pool.Serve(m.now, n.name, report)
		m.send(to, i, size(answer), func() {
			if !answered && n.run == run {
				answered = true
				n.ledger.Answered(m.now, group, owner, answer)
			}
		})
	})
}

// call makes a request of an account at node i and checks the window that ends now.
func (m *model) call(i int, account string) error {
	n := m.nodes[i]
	if n.down {
		return nil
	}
	if m.centralBucket(account).take(m.now, m.accounts[account]) {
		m.inside[account]++
	}
	if !m.admits(i, account) {
		return nil
	}
	m.passed[account]++
	times := append(m.admitted[account], m.now)
	for !times[0].After(m.now.Add(-m.terms.Window)) {
		times = times[1:]
	}
	m.admitted[account] = times
	m.peak[account] = max(m.peak[account], len(times))
	if bound := m.terms.bound(m.accounts[account]); float64(len(times)) > bound && !m.unchecked {
		return fmt.Errorf("%s: %d requests in the window before %v, bound %.1f", account, len(times), m.now.Sub(modelStart), bound)
	}
	return nil
}

func (m *model) poisson(mean float64) int {
	count, limit, product := 0, math.Exp(-mean), m.random.Float64()
	for product > limit {
		count++
		product *= m.random.Float64()
	}
	return count
}

// run runs the model for a time.
func (m *model) run(length time.Duration) error {
	for end := m.now.Add(length); m.now.Before(end); {
		if err := m.step(); err != nil {
			return err
		}
	}
	return nil
}

func (m *model) admits(i int, account string) bool {
	if m.charge != nil {
		return m.charge(i, account)
	}
	_, ok := m.nodes[i].ledger.Charge(m.now, account)
	return ok
}

func (m *model) centralBucket(account string) *centralBucket {
	if m.central[account] == nil {
		m.central[account] = &centralBucket{level: m.accounts[account].Burst, updatedAt: m.now}
	}
	return m.central[account]
}

// centralBucket is the token bucket of an account that one place would keep for the
// whole fleet.
type centralBucket struct {
	level     float64
	updatedAt time.Time
}

func (c *centralBucket) take(now time.Time, account sycamorerun.Account) bool {
	c.level = min(c.level+account.Rate*now.Sub(c.updatedAt).Seconds(), account.Burst)
	c.updatedAt = now
	if c.level < 1 {
		return false
	}
	c.level--
	return true
}
