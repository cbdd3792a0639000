package forwarder

import (
	"time"

	"sycamorerun"
)

// hedgeDelay returns the time after which a second attempt may be sent beside the
// first one, and whether the call permits that: nearly all calls like it have been
// answered by then, so that the instance is probably slow, hangs or has failed.
func (s *sender) hedgeDelay() (time.Duration, bool) {
	c := s.call
	if !c.match.Repeatable || !c.buffered || c.key != "" || c.parentAttempt > 1 {
		return 0, false
	}
	return s.forwarder.TimeBound(c.match)
}

// runHedged sends an attempt, and a second one at another instance if the first one
// has not ended after delay. The first response counts, and the other attempt is
// canceled.
func (s *sender) runHedged(first *attempt, delay time.Duration) *attempt {
	ended := make(chan *attempt, 2)
	start := func(a *attempt, tried []string) {
		go func() {
			s.send(a, tried)
			ended <- a
		}()
	}
	start(first, s.tried)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case a := <-ended:
		return s.finish(a)
	case <-timer.C:
	}
	second, ok := s.hedge(first)
	if !ok {
		return s.finish(<-ended)
	}
	start(second, s.tried)
	winner := <-ended
	if winner.failed != nil {
		s.finish(winner)
		return s.finishLast(winner, <-ended)
	}
	loser := first
	if winner == first {
		loser = second
	}
	loser.cancel(errDone)
	go s.discard(loser, ended)
	return s.finish(winner)
}

// hedge returns the second attempt, if the retry budget and the time left permit
// one and another instance is there.
func (s *sender) hedge(first *attempt) (*attempt, bool) {
	f := s.forwarder
	s.tried = append(s.tried, first.to.Name)
	defer func() { s.tried = s.tried[:len(s.tried)-1] }()
	if s.ctx.Err() != nil || !f.HasOtherInstance(s.call.match.Service, s.tried) {
		return nil, false
	}
	if _, ok := f.retryDelay(s.call, s.attempts, s.sends+1, &failure{result: sycamorerun.Unknown, reason: reasonSuperseded, sent: true}); !ok {
		return nil, false
	}
	f.Scope.Counter("hedged_attempts").Inc(1)
	return s.next()
}

// finishLast finishes the second of two attempts, of which the first one failed.
func (s *sender) finishLast(failed, last *attempt) *attempt {
	s.finish(last)
	if last.failed != nil {
		last.failed = mergeFailures(failed.failed, last.failed)
	}
	return last
}

// discard waits for the end of a canceled attempt.
func (s *sender) discard(a *attempt, ended <-chan *attempt) {
	<-ended
	if a.failed == nil {
		a.out.body.Close()
		a.failed = unknown(reasonSuperseded)
	}
	a.failed.result = sycamorerun.Unknown
	// The time is only a lower bound, but without it the estimate would leave out
	// the slowest calls.
	s.forwarder.answerTimes.Record(s.call.match.kind(), s.forwarder.Now().Sub(a.started))
	s.forwarder.observeFailure(s.call, a, reasonSuperseded)
}
