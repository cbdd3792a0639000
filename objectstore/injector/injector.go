// Package injector decides which faults and rate limits apply to a call of the
// stand-in store.
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
	// Refuse answers with status 503 and doesn't execute the call.
	Refuse Kind = "refuse"
	// Stall neither executes nor answers the call until the caller gives up.
	Stall Kind = "stall"
	// Delay waits before the call is executed.
	Delay Kind = "delay"
	// Lose executes the call and closes the connection without an answer.
	Lose Kind = "lose"
	// Stale answers reads from the state at the time when the plan was set.
	Stale Kind = "stale"
	// Mute executes the call and never answers. The connection stays open.
	Mute Kind = "mute"
	// Late closes the connection at once and executes the write after Delay.
	Late Kind = "late"
	// Forget discards the history and answers a watch with status 410.
	Forget Kind = "forget"
	// Silence affects the connections that are open when the plan is set: their
	// calls are neither executed nor answered, also after the plan is replaced.
	// New connections work.
	Silence Kind = "silence"
)

// effects maps each kind to its effect on the decision.
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

// applicableOperations lists the operations of the kinds that apply to some
// operations only.
var applicableOperations = map[Kind][]Operation{
	Late:   {Put, Delete},
	Forget: {Watch},
}

// Operation is a kind of call of the store.
type Operation string

// Operations of the store.
const (
	Get    Operation = "get"
	List   Operation = "list"
	Put    Operation = "put"
	Delete Operation = "delete"
	Watch  Operation = "watch"
)

// IsWrite reports whether the operation counts towards the write limit.
func (o Operation) IsWrite() bool { return o == Put || o == Delete }

// Default rate limits in calls per second, equal to those of the platform's
// store.
const (
	DefaultReads  = 2000
	DefaultWrites = 400
)

// Rule is a fault and a selection of the calls that it affects.
type Rule struct {
	Kind Kind `json:"kind"`
	// Operations, Prefix and Caller select calls. An empty field selects all.
	Operations []Operation `json:"operations,omitempty"`
	Prefix     string      `json:"prefix,omitempty"`
	Caller     string      `json:"caller,omitempty"`
	// Share is the share of the callers whose calls are selected, 0 meaning all.
	// A seed always selects the same callers.
	Share float64 `json:"share,omitempty"`
	// Fraction is the probability that a selected call is affected, 0 meaning
	// always.
	Fraction float64 `json:"fraction,omitempty"`
	// Count is the number of faults after which the rule ends, 0 meaning never.
	Count int `json:"count,omitempty"`
	// Delay is the time for the kinds Delay and Late.
	Delay sycamorerun.Duration `json:"delay,omitempty"`
}

// Plan is a set of faults and rate limits.
type Plan struct {
	Rules []Rule `json:"rules,omitempty"`
	// Reads and Writes are limits in calls per second. Zero means the default, a
	// negative number no limit.
	Reads  int `json:"reads,omitempty"`
	Writes int `json:"writes,omitempty"`
}

// Validate returns an error for the first invalid rule.
func (p Plan) Validate() error {
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

// Call has the attributes of a call that a rule can select by. Key is the prefix
// for lists and watches.
type Call struct {
	Operation Operation
	Key       string
	Caller    string
	// Opened is when the call's connection was opened, zero if unknown.
	Opened time.Time
}

// Decision lists the faults that apply to a call.
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
	// Late, if positive, is the delay until the call is executed, after its
	// connection was closed.
	Late time.Duration
}

// Injector applies a plan. Its methods may be called concurrently.
type Injector struct {
	mu     sync.Mutex
	seed   uint64
	plan   Plan
	setAt  time.Time
	random *rand.Rand
	reads  rateWindow
	writes rateWindow
}

// New returns an injector without faults. The seed determines which callers and
// calls a share or fraction selects.
func New(seed uint64) *Injector {
	return &Injector{seed: seed, random: rand.New(rand.NewPCG(seed, 0))}
}

// Set replaces the plan at now.
func (i *Injector) Set(now time.Time, plan Plan) error {
	if err := plan.Validate(); err != nil {
		return err
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	plan.Rules = slices.Clone(plan.Rules)
	i.plan, i.setAt = plan, now
	return nil
}

// Plan returns the current plan with the remaining counts.
func (i *Injector) Plan() Plan {
	i.mu.Lock()
	defer i.mu.Unlock()
	plan := i.plan
	plan.Rules = slices.Clone(plan.Rules)
	return plan
}

// Decide returns the faults that apply to a call at now. A call above the rate
// limit gets no other fault.
func (i *Injector) Decide(now time.Time, call Call) Decision {
	i.mu.Lock()
	defer i.mu.Unlock()
	rate, window := orDefault(i.plan.Reads, DefaultReads), &i.reads
	if call.Operation.IsWrite() {
		rate, window = orDefault(i.plan.Writes, DefaultWrites), &i.writes
	}
	if !window.allow(now, rate) {
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

// Silenced reports whether the plan silences the connection of a call in flight.
func (i *Injector) Silenced(call Call) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return slices.ContainsFunc(i.plan.Rules, func(rule Rule) bool { return rule.Kind == Silence && i.selects(rule, call) })
}

// selects reports whether a rule selects a call.
func (i *Injector) selects(r Rule, call Call) bool {
	return (len(r.Operations) == 0 || slices.Contains(r.Operations, call.Operation)) &&
		(applicableOperations[r.Kind] == nil || slices.Contains(applicableOperations[r.Kind], call.Operation)) &&
		strings.HasPrefix(call.Key, r.Prefix) &&
		(r.Caller == "" || r.Caller == call.Caller) &&
		(r.Share == 0 || i.callerFraction(call.Caller) < r.Share) &&
		(r.Kind != Silence || call.Opened.Before(i.setAt) && !call.Opened.IsZero())
}

// callerFraction maps a caller to a number from 0 to 1, always the same one for
// a seed.
func (i *Injector) callerFraction(caller string) float64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(caller)) // Never fails.
	return rand.New(rand.NewPCG(i.seed, hash.Sum64())).Float64()
}

// rateWindow is a fixed-window rate limiter with a window of one second.
type rateWindow struct {
	start time.Time
	used  int
}

// allow counts a call at now and reports whether it is within limit. A negative
// limit means no limit.
func (w *rateWindow) allow(now time.Time, limit int) bool {
	if now.Sub(w.start) >= time.Second || now.Before(w.start) {
		w.start, w.used = now, 0
	}
	if limit >= 0 && w.used >= limit {
		return false
	}
	w.used++
	return true
}

func orDefault(value, fallback int) int {
	if value == 0 {
		return fallback
	}
	return value
}
