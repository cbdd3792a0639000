package registrar

import (
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"sycamorerun"
)

var (
	start       = time.Unix(1000, 0)
	self        = sycamorerun.Run{Name: "a", Boot: 1}
	smallLimits = Limits{Calls: 4, CallTTL: time.Minute, Refusals: 3, Sessions: 2}
)

func at(d time.Duration) time.Time { return start.Add(d) }

func newRegistrar(boot int64, limits Limits) *Registrar {
	r := New(limits)
	r.Self = sycamorerun.Run{Name: self.Name, Boot: boot}
	return r
}

func sentTo(number uint64) sycamorerun.Session { return sycamorerun.Session{Run: self, Number: number} }

func id(session, sequence uint64) sycamorerun.CallID {
	return sycamorerun.CallID{Session: session, Sequence: sequence}
}

// claim claims a call whose key permits that it runs.
func claim(r *Registrar, call sycamorerun.CallID) sycamorerun.Verdict {
	return r.Begin(call, func() sycamorerun.Decision { return sycamorerun.Decision{Verdict: sycamorerun.VerdictRun} }, func() {}).Verdict
}

// run plays a call that arrives, runs with a result and ends.
func run(r *Registrar, now time.Time, call sycamorerun.CallID, result sycamorerun.Result) {
	claim(r, call)
	r.Launch(call)
	r.Finish(call, Outcome{Result: result, Sent: result != sycamorerun.NotRun})
	r.End(now, call)
}

// TestRefuse guards against a call that runs although its sender was told that it does
// not, or that is called refused after it has run, in each state of its record, of its
// session and of the process. Without need, the answer must not be unknown.
func TestRefuse(t *testing.T) {
	call := id(1, 10)
	cases := map[string]struct {
		prepare func(r *Registrar)
		sent    sycamorerun.Session
		state   State
		verdict sycamorerun.Verdict
	}{
		"not arrived":     {func(*Registrar) {}, sentTo(1), StateRefused, sycamorerun.VerdictRefused},
		"claimed":         {func(r *Registrar) { claim(r, call) }, sentTo(1), StateRefused, sycamorerun.VerdictRefused},
		"key not decided": {func(r *Registrar) { r.Start(call) }, sentTo(1), StateStarted, sycamorerun.VerdictUncertain},
		"started": {func(r *Registrar) {
			claim(r, call)
			r.Launch(call)
		}, sentTo(1), StateStarted, sycamorerun.VerdictUncertain},
		"finished": {
			func(r *Registrar) { run(r, start, call, sycamorerun.Answered) }, sentTo(1),
			StateFinished, sycamorerun.VerdictUncertain,
		},
		"started and not sent": {
			func(r *Registrar) { run(r, start, call, sycamorerun.NotRun) }, sentTo(1),
			StateRefused, sycamorerun.VerdictRefused,
		},
		"rejected by the upstream": {
			func(r *Registrar) {
				claim(r, call)
				r.Launch(call)
				r.Finish(call, Outcome{Result: sycamorerun.NotRun, Sent: true})
				r.End(start, call)
			}, sentTo(1),
			StateRejected, sycamorerun.VerdictRefused,
		},
		"ended before it started": {func(r *Registrar) { r.End(start, call) }, sentTo(1), StateRefused, sycamorerun.VerdictRefused},
		"sent to an earlier run": {
			func(*Registrar) {},
			sycamorerun.Session{Run: sycamorerun.Run{Name: "a", Boot: 2}, Number: 1},
			StateUnknown, sycamorerun.VerdictRun,
		},
		"sent to another node": {
			func(*Registrar) {},
			sycamorerun.Session{Run: sycamorerun.Run{Name: "b", Boot: 1}, Number: 1},
			StateUnknown, sycamorerun.VerdictRun,
		},
		"sender does not tell the run": {func(*Registrar) {}, sycamorerun.Session{}, StateUnknown, sycamorerun.VerdictRun},
		"unknown session":              {func(*Registrar) {}, sentTo(9), StateUnknown, sycamorerun.VerdictRun},
		"session has ended": {
			func(r *Registrar) { r.CloseSession(start, 1) }, sentTo(1),
			StateRefused, sycamorerun.VerdictRun,
		}, // no call starts in a session that has ended
		"ran before the session ended": {func(r *Registrar) {
			run(r, start, call, sycamorerun.Answered)
			r.CloseSession(start, 1)
		}, sentTo(1), StateFinished, sycamorerun.VerdictUncertain},
		"session has ended long ago": {func(r *Registrar) {
			run(r, start, call, sycamorerun.Answered)
			r.CloseSession(start, 1)
			r.End(at(smallLimits.CallTTL), id(2, 1))
		}, sentTo(1), StateUnknown, sycamorerun.VerdictRun},
		"record dropped": {func(r *Registrar) {
			run(r, start, call, sycamorerun.Answered)
			for n := range uint64(smallLimits.Calls) {
				run(r, start, id(2, 11+n), sycamorerun.Answered)
			}
		}, sentTo(1), StateUnknown, sycamorerun.VerdictRun},
		"record of an earlier call dropped": {func(r *Registrar) {
			run(r, start, id(1, 9), sycamorerun.Answered)
			r.End(at(smallLimits.CallTTL), id(2, 11))
		}, sentTo(1), StateRefused, sycamorerun.VerdictRefused},
		"record of a later call of another session dropped": {func(r *Registrar) {
			run(r, start, id(2, 11), sycamorerun.Answered)
			r.End(at(smallLimits.CallTTL), id(2, 12))
		}, sentTo(1), StateRefused, sycamorerun.VerdictRefused},
		"no room for a refusal": {func(r *Registrar) {
			for n := range uint64(smallLimits.Refusals) {
				r.Refuse(sentTo(2), 11+n)
			}
		}, sentTo(1), StateUnknown, sycamorerun.VerdictRun},
		"room after the refused calls have arrived": {func(r *Registrar) {
			for n := range uint64(smallLimits.Refusals) {
				r.Refuse(sentTo(2), 11+n)
				r.End(start, id(2, 11+n))
			}
		}, sentTo(1), StateRefused, sycamorerun.VerdictRefused},
		"room after their session has ended": {func(r *Registrar) {
			for n := range uint64(smallLimits.Refusals) {
				r.Refuse(sentTo(2), 11+n)
			}
			r.CloseSession(start, 2)
		}, sentTo(1), StateRefused, sycamorerun.VerdictRefused},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newRegistrar(1, smallLimits)
			r.OpenSession(1)
			r.OpenSession(2)
			c.prepare(r)
			is.Equal(r.Refuse(c.sent, call.Sequence), c.state)
			is.Equal(r.Start(call).Verdict, c.verdict)
		})
	}
}

// TestWithoutNumber guards against calls of a sender without numbers, as one of an
// earlier version, that are taken for one and the same.
func TestWithoutNumber(t *testing.T) {
	is := is.New(t)
	r := newRegistrar(1, smallLimits)
	r.OpenSession(1)
	for range 2 {
		is.Equal(r.Start(id(1, 0)).Verdict, sycamorerun.VerdictRun)
		r.End(start, id(1, 0))
	}
	is.Equal(r.Refuse(sentTo(1), 0), StateUnknown)
}

// TestBounds guards against records that grow without bound, and against the loss of
// the record of a running call when many others follow.
func TestBounds(t *testing.T) {
	is := is.New(t)
	r := newRegistrar(1, smallLimits)
	r.OpenSession(1)
	claim(r, id(1, 1))
	r.Launch(id(1, 1))
	for n := range uint64(1000) {
		now := at(time.Duration(n) * time.Second)
		r.OpenSession(2 + n)
		r.Refuse(sentTo(2+n), 10)
		run(r, now, id(1, 2+n), sycamorerun.Answered)
		run(r, now, id(2+n, 2), sycamorerun.Answered)
		r.CloseSession(now, 2+n)
	}
	is.True(len(r.sessions) <= 1+smallLimits.Sessions)
	is.True(len(r.sessions[1].calls) <= 1+smallLimits.Calls)
	is.Equal(r.refusals, 0)
	is.Equal(r.Refuse(sentTo(1), 1), StateStarted)
	is.Equal(r.Refuse(sentTo(1), 2), StateUnknown)
}

// attempt is an attempt of a call in the model of TestNoFalseRefusal.
type attempt struct {
	boot              int64
	session, sequence uint64
	// sent says that the upstream got the attempt, told that its sender knows that it
	// does not run.
	arrived, sent, ran, told bool
}

// model is a node that is restarted at random, with senders that lose its answers.
type model struct {
	t        *testing.T
	random   *rand.Rand
	now      time.Time
	current  *Registrar
	boot     int64
	number   uint64
	open     []uint64
	attempts []*attempt
	sequence uint64
	// refused counts the answers that a call does not run, unneeded those that lack
	// although nothing stood in their way.
	refused, unneeded int
}

// restart replaces the process. Whether it takes no time or a year makes no difference.
func (m *model) restart() {
	m.boot++
	m.current = newRegistrar(m.boot, smallLimits)
	m.open, m.number = nil, 0
}

func (m *model) openSession() {
	m.number++
	m.current.OpenSession(m.number)
	m.open = append(m.open, m.number)
}

func (m *model) closeSession() {
	if len(m.open) == 0 {
		return
	}
	i := m.random.IntN(len(m.open))
	m.current.CloseSession(m.now, m.open[i])
	m.open = append(m.open[:i:i], m.open[i+1:]...)
}

func (m *model) send() {
	if len(m.open) > 0 {
		m.sequence++
		session := m.open[m.random.IntN(len(m.open))]
		m.attempts = append(m.attempts, &attempt{boot: m.boot, session: session, sequence: m.sequence})
	}
}

// isOpen reports whether an attempt can still arrive.
func (m *model) isOpen(a *attempt) bool {
	for _, number := range m.open {
		if a.boot == m.boot && a.session == number {
			return true
		}
	}
	return false
}

// arrive delivers an attempt, however late, and runs it if it may.
func (m *model) arrive(a *attempt) {
	if a.arrived || !m.isOpen(a) {
		return
	}
	a.arrived = true
	call := id(a.session, a.sequence)
	if m.random.IntN(4) > 0 && claim(m.current, call) == sycamorerun.VerdictRun {
		if a.told {
			m.t.Fatalf("attempt %+v runs although its sender was told that it does not", *a)
		}
		if m.random.IntN(4) == 0 {
			m.ask(a)
		}
		a.sent = m.current.Launch(call) && m.random.IntN(5) > 0
		if a.sent && a.told {
			m.t.Fatalf("attempt %+v is launched although its sender was told that it is not", *a)
		}
		a.ran = a.sent && m.random.IntN(4) > 0
		m.current.Finish(call, Outcome{
			Result: map[bool]sycamorerun.Result{true: sycamorerun.Answered, false: sycamorerun.NotRun}[a.ran], Sent: a.sent,
		})
	}
	m.current.End(m.now, call)
}

// ask asks about an attempt over any session to the process of now.
func (m *model) ask(a *attempt) {
	sent := sycamorerun.Session{Run: sycamorerun.Run{Name: self.Name, Boot: a.boot}, Number: a.session}
	room := m.current.refusals < smallLimits.Refusals
	state := m.current.Refuse(sent, a.sequence)
	switch {
	case state == StateRefused && a.sent, state == StateRejected && (a.ran || !a.sent):
		m.t.Fatalf("attempt %+v is called %s", *a, state)
	case state == StateRefused, state == StateRejected:
		a.told = true
		m.refused++
	case m.isOpen(a) && !a.arrived && room && a.sequence > m.current.sessions[a.session].dropped:
		m.unneeded++
	}
}

// TestNoFalseRefusal guards against a call that is called refused and has run or runs
// later, or that was rejected by the upstream and is said not to have reached it: with
// restarts faster than any round trip, answers and calls that are late without bound,
// sessions that end and clocks that jump. REGISTRAR_SEEDS sets the number of seeds.
func TestNoFalseRefusal(t *testing.T) {
	seeds, _ := strconv.ParseUint(os.Getenv("REGISTRAR_SEEDS"), 10, 64)
	refused := 0
	for seed := range max(seeds, 300) {
		m := &model{t: t, random: rand.New(rand.NewPCG(seed, 0)), now: start}
		m.restart()
		for range 300 {
			m.step()
		}
		if m.unneeded > 0 {
			t.Fatalf("seed %d: %d calls that had not arrived were not refused", seed, m.unneeded)
		}
		refused += m.refused
	}
	is.New(t).True(refused > 0)
	t.Logf("%d answers that a call does not run", refused)
}

func (m *model) step() {
	switch n := m.random.IntN(20); {
	case n == 0 && m.random.IntN(3) == 0:
		m.restart()
	case n <= 1:
		m.openSession()
	case n == 2:
		m.closeSession()
	case n == 3:
		m.now = m.now.Add(time.Duration(m.random.Int64N(int64(2 * smallLimits.CallTTL))))
	case n <= 9:
		m.send()
	case len(m.attempts) == 0:
	case n <= 15:
		m.arrive(m.attempts[m.random.IntN(len(m.attempts))])
	default:
		m.ask(m.attempts[m.random.IntN(len(m.attempts))])
	}
}
