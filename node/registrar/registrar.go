// Package registrar records how far the calls that peers send have got, so that a peer
// that has lost a call can be told whether it runs. What it answers rests on the session
// over which the call was sent: a session ends with the process at either end, so that
// neither the time of a call nor the name of the node has to stand for the process.
package registrar

import (
	"sync"
	"time"

	"sycamorerun"
	"sycamorerun/node/queuer"
)

// Reasons for a decision.
const (
	ReasonRefused   = "refused"
	ReasonDuplicate = "duplicate"
)

// State is the state of a call as Refuse returns it.
type State string

// States of a call.
const (
	// StateRefused means that the upstream has not got the call and never will: it has
	// not arrived, or this node refused it.
	StateRefused State = "refused"
	// StateRejected means that the upstream may have got the call, and that it did not
	// run.
	StateRejected State = "rejected"
	StateStarted  State = "started"
	StateFinished State = "finished"
	// StateUnknown means that the call was sent to another run, that its record may
	// have been dropped, or that there is no room for another refusal.
	StateUnknown State = "unknown"
)

// Outcome says how a started call ended.
type Outcome struct {
	Result sycamorerun.Result
	// Sent says that the upstream may have got the call, even if it rejected it.
	Sent bool
}

// Limits bounds the number and age of records.
type Limits struct {
	// Calls is the maximum number of records of calls that have ended, CallTTL the
	// time for which they are kept.
	Calls   int
	CallTTL time.Duration
	// Refusals is the maximum number of refusals of calls that have not arrived.
	Refusals int
	// Sessions is the maximum number of ended sessions whose calls are on record. They
	// are kept for CallTTL.
	Sessions int
}

// Defaults are the limits for one upstream. At 320 calls/s, its share of 3.1 M
// calls/s over 9,800 upstreams, one minute of calls takes 19,200 records.
var Defaults = Limits{Calls: 32 << 10, CallTTL: time.Minute, Refusals: 16 << 10, Sessions: 4 << 10}

// Registrar holds the records of the calls that arrived at one run of a node.
type Registrar struct {
	// Self is this run.
	Self sycamorerun.Run

	mutex    sync.Mutex
	limits   Limits
	sessions map[uint64]*session
	// ended holds the calls that have ended, closed the sessions that have.
	ended  queuer.Queue[sycamorerun.CallID]
	closed queuer.Queue[uint64]
	// refusals is the number of refused calls that may still arrive.
	refusals int
}

// session holds the records of the calls that arrived over one session.
type session struct {
	calls map[uint64]record
	// dropped is the highest number of a call whose record has been dropped. A call
	// without a record and with a higher number has not arrived.
	dropped uint64
	// closed is set once no more calls can start.
	closed bool
}

// record is the record of a call.
type record struct {
	state State
	// awaited is set while a refused call has not arrived.
	awaited bool
	// release is set from Begin to Launch. If the sender of the call asks about it
	// meanwhile, the call is refused, and release gives back its claim.
	release func()
}

// New returns a registrar without sessions.
func New(limits Limits) *Registrar {
	return &Registrar{limits: limits, sessions: map[uint64]*session{}}
}

// OpenSession records a session. It has to be called before the peer learns the number
// of the session.
func (r *Registrar) OpenSession(number uint64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.sessions[number] = &session{calls: map[uint64]record{}}
}

// CloseSession records that a session has ended and that none of its calls can start
// any more.
func (r *Registrar) CloseSession(now time.Time, number uint64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	s, ok := r.sessions[number]
	if !ok || s.closed {
		return
	}
	s.closed = true
	for sequence, call := range s.calls {
		if call.awaited {
			r.refusals--
			delete(s.calls, sequence)
		}
	}
	r.closed.Push(now, number)
	r.expire(now)
}

// Start decides whether a call that has arrived may run, and records it as started if
// so.
func (r *Registrar) Start(id sycamorerun.CallID) sycamorerun.Decision {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	s, ok := r.session(id)
	if !ok {
		return sycamorerun.Decision{Verdict: sycamorerun.VerdictRun}
	}
	switch call, known := s.calls[id.Sequence]; {
	case !known:
		s.calls[id.Sequence] = record{state: StateStarted}
		return sycamorerun.Decision{Verdict: sycamorerun.VerdictRun}
	case call.state == StateRefused, call.state == StateRejected:
		return sycamorerun.Decision{Verdict: sycamorerun.VerdictRefused, Reason: ReasonRefused}
	default:
		return sycamorerun.Decision{Verdict: sycamorerun.VerdictUncertain, Reason: ReasonDuplicate}
	}
}

// Launch reports whether a call that was claimed may be handed to the upstream. From then
// on Refuse says that it has started. If not, the claim has been given back.
func (r *Registrar) Launch(id sycamorerun.CallID) bool {
	return r.replace(id, record{state: StateStarted})
}

// replace replaces the record of a started call, and reports whether the call still has
// its claim, which Refuse may have given back.
func (r *Registrar) replace(id sycamorerun.CallID, next record) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	s, ok := r.session(id)
	if !ok {
		return true
	}
	if s.calls[id.Sequence].state != StateStarted {
		return false
	}
	s.calls[id.Sequence] = next
	return true
}

// Begin is Start for a call that another decision is needed for, such as that on its
// idempotency key. If the call must not run, it is refused from now on, unless it may
// have run before. Launch has to follow before the upstream gets anything of a call that
// may run. Until then Refuse may refuse the call, and calls release to give back what
// decide has claimed.
func (r *Registrar) Begin(id sycamorerun.CallID, decide func() sycamorerun.Decision, release func()) sycamorerun.Decision {
	decision := r.Start(id)
	if decision.Verdict != sycamorerun.VerdictRun {
		return decision
	}
	decision = decide()
	switch decision.Verdict {
	case sycamorerun.VerdictRun:
		r.replace(id, record{state: StateStarted, release: release})
	case sycamorerun.VerdictRefused, sycamorerun.VerdictMismatch:
		r.Finish(id, Outcome{Result: sycamorerun.NotRun})
	default:
		r.Finish(id, Outcome{Result: sycamorerun.Unknown, Sent: true})
	}
	return decision
}

// Finish records the outcome of a started call. One that did not run never starts again,
// so that Refuse reports with certainty that it did not run. Finish reports whether the
// call still had its claim, which Refuse may have given back.
func (r *Registrar) Finish(id sycamorerun.CallID, outcome Outcome) bool {
	state := StateFinished
	switch {
	case outcome.Result == sycamorerun.NotRun && outcome.Sent:
		state = StateRejected
	case outcome.Result == sycamorerun.NotRun:
		state = StateRefused
	}
	return r.replace(id, record{state: state})
}

// End records that a call that has arrived has ended, whether it had started or not.
// It can't start any more.
func (r *Registrar) End(now time.Time, id sycamorerun.CallID) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	s, ok := r.session(id)
	if !ok {
		return
	}
	call, known := s.calls[id.Sequence]
	if call.awaited {
		r.refusals--
	}
	if !known || call.awaited {
		s.calls[id.Sequence] = record{state: StateRefused}
	}
	r.ended.Push(now, id)
	r.expire(now)
}

// Refuse returns the state of a call that a peer sent over a session. If it has not
// arrived, or has not been launched, it is refused from now on.
func (r *Registrar) Refuse(sent sycamorerun.Session, sequence uint64) State {
	state, release := r.refuse(sent, sequence)
	if release != nil {
		release()
	}
	return state
}

// refuse is Refuse. It also returns the function that gives back the claim of a call that
// it has refused, or nil.
func (r *Registrar) refuse(sent sycamorerun.Session, sequence uint64) (State, func()) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	s, ok := r.sessions[sent.Number]
	if !ok || sent.Run != r.Self {
		return StateUnknown, nil
	}
	switch call, known := s.calls[sequence]; {
	case known && call.release != nil:
		s.calls[sequence] = record{state: StateRefused}
		return StateRefused, call.release
	case known:
		return call.state, nil
	case sequence <= s.dropped:
		return StateUnknown, nil
	case s.closed:
		return StateRefused, nil
	case r.refusals >= r.limits.Refusals:
		return StateUnknown, nil
	}
	s.calls[sequence] = record{state: StateRefused, awaited: true}
	r.refusals++
	return StateRefused, nil
}

// session returns the session of a call. A call without a number is not on record,
// since no peer can ask about it.
func (r *Registrar) session(id sycamorerun.CallID) (*session, bool) {
	s, ok := r.sessions[id.Session]
	return s, ok && id.Sequence != 0
}

func (r *Registrar) expire(now time.Time) {
	for r.ended.Exceeds(now, r.limits.Calls, r.limits.CallTTL) {
		r.drop(r.ended.Oldest())
		r.ended.Drop()
	}
	for r.closed.Exceeds(now, r.limits.Sessions, r.limits.CallTTL) {
		delete(r.sessions, r.closed.Oldest())
		r.closed.Drop()
	}
}

// drop drops the record of a call that has ended.
func (r *Registrar) drop(id sycamorerun.CallID) {
	if s, ok := r.session(id); ok {
		delete(s.calls, id.Sequence)
		s.dropped = max(s.dropped, id.Sequence)
	}
}
