package limiter

import "time"

const (
	// transferFraction is the fraction of the slots that may be held by calls whose
	// bodies are still being transferred. Bodies that share a link arrive no faster
	// if more of them are transferred at once, but hold more slots for longer, and
	// delay the other calls on the link.
	transferFraction = 0.25
	// minTransfers is the minimum number of transfers at once, so that one slow
	// caller does not stop the others.
	minTransfers = 2
	// maxTransferTime is the time after which a transfer no longer counts. It is
	// then probably the caller that is slow and not the link.
	maxTransferTime = 500 * time.Millisecond
)

// canTransfer reports whether another body may be transferred.
func (l *Limiter) canTransfer() bool { return l.transfers < l.maxTransfers() }

func (l *Limiter) maxTransfers() int {
	return max(minTransfers, int(transferFraction*float64(l.limits.maxRunning())))
}

// startTransfer counts the transfer of the body of w until it has been received.
func (l *Limiter) startTransfer(w *waiter) {
	l.transfers++
	w.running.transfer = true
	go l.awaitTransfer(w.running, w.request.BodyReceived)
}

func (l *Limiter) awaitTransfer(r *runningCall, received <-chan struct{}) {
	timer := time.NewTimer(maxTransferTime)
	defer timer.Stop()
	select {
	case <-received:
	case <-timer.C:
	case <-r.released:
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := l.Now()
	l.endTransfer(now, r)
	l.grantSlots(now)
}

// endTransfer stops counting the transfer of a body.
func (l *Limiter) endTransfer(now time.Time, r *runningCall) {
	if !r.transfer {
		return
	}
	r.transfer = false
	l.transfers--
	l.transferTimes.add(now.Sub(r.startedAt))
}

// transferWait returns the expected time until the body of w can be transferred.
func (l *Limiter) transferWait(w *waiter) time.Duration {
	if l.canTransfer() {
		return 0
	}
	transfers := 1
	for other := range l.queue.ahead(w) {
		if other.request.transfers() {
			transfers++
		}
	}
	return time.Duration(transfers) * l.transferTimes.value / time.Duration(l.maxTransfers())
}
