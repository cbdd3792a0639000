// Package injector decides which faults and limits a call to the stand-in
// store meets.
package injector

import (
	"hash/fnv"
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
	// Mute never answers after the effect; the connection stays open.
	Mute Kind = "mute"
	// Late cuts the connection at once; the effect of a write comes after Delay.
	Late Kind = "late"
	// Forget discards the history and answers a watch that it is gone.
	Forget Kind = "forget"
	// Silence makes the connections that are open when the plan is set silent for
	// good: their calls have no effect and no answer. New connections work.
	Silence Kind = "silence"
)

// effects say what a rule of a kind does to a call.
var effects = map[Kind]func(*Decision, Rule){
	Refuse:  func(d *Decision, _ Rule) { d.Refuse = true },
	Stall:   func(d *Decision, _ Rule) { d.Stall = true },
	Delay:   func(d *Decision, r Rule) { d.Delay += time.Duration(r.Delay) },
	Lose:    func(d *Decision, _ Rule) { d.Lose = true },
	Stale:   func(d *Decision, _ Rule) { d.Stale = true },
	Mute:    func(d *Decision, _ Rule) { d.Mute = true },
	Late:    func(d *Decision, r Rule) { d.Late = max(1, time.Duration(r.Delay)) },
	Forget:  func(d *Decision, _ Rule) { d.Forget = true },
	Silence: func(d *Decision, _ Rule) { d.Silence = true },
}

// only lists the operations of kinds that concern no others.
var only = map[Kind][]Operation{
	Late:   {Put, Delete},
	Forget: {Watch},
}

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
	// Share is the share of the callers whose calls are selected, always the same
	// ones for a seed; 0 meaning all.
	Share float64 `json:"share,omitempty"`
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
	operations := []Operation{Get, List, Put, Delete, Watch}
	for i, rule := range p.Rules {
		if effects[rule.Kind] == nil {
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
		if rule.Share < 0 || rule.Share > 1 {
			return errors.Errorf("rule %d: share must be 0 to 1", i)
		}
		if rule.Kind == Silence && (rule.Fraction != 0 || rule.Count != 0) {
			return errors.Errorf("rule %d: silence concerns connections and has no fraction or count", i)
		}
	}
	return nil
}

// Call is what a rule can select by. Key is the prefix for lists and watches.
type Call struct {
	Operation Operation
	Key       string
	Caller    string
	// Opened is when the call's connection was opened, zero if that is not known.
	Opened time.Time
}

// Decision is what a call meets.
type Decision struct {
	Limited bool
	Refuse  bool
	Stall   bool
	Lose    bool
	Stale   bool
	Mute    bool
	Forget  bool
	Silence bool
	Delay   time.Duration
	// Late is positive for a call whose effect comes after that time.
	Late time.Duration
}

// Injector applies a plan. Its methods may be called concurrently.
type Injector struct {
	mu     sync.Mutex
	seed   uint64
	plan   Plan
	since  time.Time
	random *rand.Rand
	reads  window
	writes window
}

// New returns an injector without faults whose fractions derive from seed.
func New(seed uint64) *Injector {
	return &Injector{seed: seed, random: rand.New(rand.NewPCG(seed, 0))}
}

// Set replaces the plan at now.
func (i *Injector) Set(now time.Time, plan Plan) error {
	if err := plan.Verify(); err != nil {
		return err
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	plan.Rules = slices.Clone(plan.Rules)
	i.plan, i.since = plan, now
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
		if i.selects(rule, call) && (rule.Fraction == 0 || i.random.Float64() < rule.Fraction) {
			effects[rule.Kind](&decision, rule)
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

// Silences reports whether the connection of a call that waits is silent.
func (i *Injector) Silences(call Call) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return slices.ContainsFunc(i.plan.Rules, func(rule Rule) bool { return rule.Kind == Silence && i.selects(rule, call) })
}

func (i *Injector) selects(r Rule, call Call) bool {
	return (len(r.Operations) == 0 || slices.Contains(r.Operations, call.Operation)) &&
		(only[r.Kind] == nil || slices.Contains(only[r.Kind], call.Operation)) &&
		strings.HasPrefix(call.Key, r.Prefix) &&
		(r.Caller == "" || r.Caller == call.Caller) &&
		(r.Share == 0 || i.place(call.Caller) < r.Share) &&
		(r.Kind != Silence || call.Opened.Before(i.since) && !call.Opened.IsZero())
}

// place returns a number from 0 to 1 that a caller has for good.
func (i *Injector) place(caller string) float64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(caller)) // Never fails.
	return rand.New(rand.NewPCG(i.seed, hash.Sum64())).Float64()
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
