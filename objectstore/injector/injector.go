// Package injector decides which faults and limits a call to the stand-in
// store meets.
package injector

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"sycamorerun"
)

// Kind is a kind of fault.
type Kind string

// Kinds of faults.
const (
	// Refuse answers 503 before any effect.
	Refuse Kind = "refuse"
	// Stall keeps the call without effect until the caller gives up.
	Stall Kind = "stall"
	// Delay waits before the effect.
	Delay Kind = "delay"
	// Lose cuts the connection after the effect.
	Lose Kind = "lose"
	// Stale answers reads from the state at the time the plan was set.
	Stale Kind = "stale"
)

// Operation is a call of the store.
type Operation string

// Operations of the store.
const (
	Get    Operation = "get"
	List   Operation = "list"
	Put    Operation = "put"
	Delete Operation = "delete"
	Watch  Operation = "watch"
)

// Write reports whether the operation counts as a write.
func (o Operation) Write() bool { return o == Put || o == Delete }

// Default rate limits in calls per second, those of the platform's store.
const (
	DefaultReads  = 2000
	DefaultWrites = 400
)

// Rule is a fault and the calls that meet it.
type Rule struct {
	Kind Kind `json:"kind"`
	// Operations, Prefix and Caller select calls; empty selects all.
	Operations []Operation `json:"operations,omitempty"`
	Prefix     string      `json:"prefix,omitempty"`
	Caller     string      `json:"caller,omitempty"`
	// Fraction of the selected calls, 0 meaning all.
	Fraction float64 `json:"fraction,omitempty"`
	// Count ends the rule after so many faults, 0 meaning never.
	Count int                  `json:"count,omitempty"`
	Delay sycamorerun.Duration `json:"delay,omitempty"`
}

// Plan is the set of faults and limits in force.
type Plan struct {
	Rules []Rule `json:"rules,omitempty"`
	// Reads and Writes are calls per second: 0 the default, below 0 no limit.
	Reads  int `json:"reads,omitempty"`
	Writes int `json:"writes,omitempty"`
}

// Verify reports the first fault of the plan itself.
func (p Plan) Verify() error {
	kinds := []Kind{Refuse, Stall, Delay, Lose, Stale}
	operations := []Operation{Get, List, Put, Delete, Watch}
	for i, rule := range p.Rules {
		if !slices.Contains(kinds, rule.Kind) {
			return errors.Errorf("rule %d: unknown kind %q", i, rule.Kind)
		}
		for _, operation := range rule.Operations {
			if !slices.Contains(operations, operation) {
				return errors.Errorf("rule %d: unknown operation %q", i, operation)
			}
		}
		if rule.Fraction < 0 || rule.Fraction > 1 || rule.Count < 0 || rule.Delay < 0 {
			return errors.Errorf("rule %d: fraction must be 0 to 1, count and delay not negative", i)
		}
	}
	return nil
}

// Call is what a rule can select by. Key is the prefix for lists and watches.
type Call struct {
	Operation Operation
	Key       string
	Caller    string
}

// Decision is what a call meets.
type Decision struct {
	Limited bool
	Refuse  bool
	Stall   bool
	Lose    bool
	Stale   bool
	Delay   time.Duration
}

// Injector applies a plan. Its methods may be called concurrently.
type Injector struct {
	mu     sync.Mutex
	plan   Plan
	random *rand.Rand
	reads  window
	writes window
}

// New returns an injector without faults whose fractions derive from seed.
func New(seed uint64) *Injector {
	return &Injector{random: rand.New(rand.NewPCG(seed, 0))}
}

// Set replaces the plan.
func (i *Injector) Set(plan Plan) error {
	if err := plan.Verify(); err != nil {
		return err
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	plan.Rules = slices.Clone(plan.Rules)
	i.plan = plan
	return nil
}

// Plan returns the plan in force with the remaining counts.
func (i *Injector) Plan() Plan {
	i.mu.Lock()
	defer i.mu.Unlock()
	plan := i.plan
	plan.Rules = slices.Clone(plan.Rules)
	return plan
}

// Decide returns what a call meets at now. A call above the rate limit meets
// no other fault.
func (i *Injector) Decide(now time.Time, call Call) Decision {
	i.mu.Lock()
	defer i.mu.Unlock()
	rate, used := orDefault(i.plan.Reads, DefaultReads), &i.reads
	if call.Operation.Write() {
		rate, used = orDefault(i.plan.Writes, DefaultWrites), &i.writes
	}
	if !used.take(now, rate) {
		return Decision{Limited: true}
	}
	var decision Decision
	rules := i.plan.Rules[:0:0]
	for _, rule := range i.plan.Rules {
		if rule.selects(call) && (rule.Fraction == 0 || i.random.Float64() < rule.Fraction) {
			decision.add(rule)
			if rule.Count == 1 {
				continue
			}
			rule.Count = max(0, rule.Count-1)
		}
		rules = append(rules, rule)
	}
	i.plan.Rules = rules
	return decision
}

func (r Rule) selects(call Call) bool {
	return (len(r.Operations) == 0 || slices.Contains(r.Operations, call.Operation)) &&
		strings.HasPrefix(call.Key, r.Prefix) &&
		(r.Caller == "" || r.Caller == call.Caller)
}

func (d *Decision) add(rule Rule) {
	d.Refuse = d.Refuse || rule.Kind == Refuse
	d.Stall = d.Stall || rule.Kind == Stall
	d.Lose = d.Lose || rule.Kind == Lose
	d.Stale = d.Stale || rule.Kind == Stale
	d.Delay += time.Duration(rule.Delay)
}

// window counts the calls within one second.
type window struct {
	start time.Time
	used  int
}

func (w *window) take(now time.Time, limit int) bool {
	if now.Sub(w.start) >= time.Second || now.Before(w.start) {
		w.start, w.used = now, 0
	}
	if limit >= 0 && w.used >= limit {
		return false
	}
	w.used++
	return true
}

func orDefault(set, standard int) int {
	if set == 0 {
		return standard
	}
	return set
}
