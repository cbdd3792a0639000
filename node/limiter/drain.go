package limiter

// Draining is the reason of refusals of calls for an upstream that is leaving.
const Draining = "draining"

// Drain refuses all waiting calls with reason and returns how many there were.
// Running calls continue.
func (l *Limiter) Drain(reason string) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := l.Now()
	count := 0
	for all := func(int) bool { return true }; l.queue.length > 0; count++ {
		l.refuse(now, l.queue.newest(all), reason)
	}
	return count
}
