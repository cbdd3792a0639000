package limiter

// Draining is the reason for refusing calls to an upstream that is draining.
const Draining = "draining"

// Drain refuses all waiting calls with reason and returns their number.
// Running calls continue.
func (l *Limiter) Drain(reason string) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := l.Now()
	count := 0
	for anyRank := func(int) bool { return true }; l.queue.length > 0; count++ {
		l.refuse(now, l.queue.tail(anyRank), reason)
	}
	return count
}
