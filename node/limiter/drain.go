package limiter

// Draining is the refusal of calls for an upstream that is leaving.
const Draining Refusal = "draining"

// Drain refuses all waiting calls with reason and returns how many there were.
// Running calls continue.
func (l *Limiter) Drain(reason Refusal) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	count := 0
	for next := l.queue.pop(); next != nil; next = l.queue.pop() {
		next.settle(reason)
		count++
	}
	return count
}
