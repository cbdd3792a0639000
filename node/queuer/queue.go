// Package queuer provides a queue of items with the times at which they were added.
package queuer

import "time"

// Queue is a FIFO queue whose items are in order of time. The zero value is empty.
type Queue[T any] struct {
	entries []entry[T]
	first   int
}

type entry[T any] struct {
	at   time.Time
	item T
}

// Push adds an item at a time that is not before that of the previous one.
func (q *Queue[T]) Push(at time.Time, item T) { q.entries = append(q.entries, entry[T]{at, item}) }

// Len returns the number of items.
func (q *Queue[T]) Len() int { return len(q.entries) - q.first }

// Oldest returns the oldest item of a queue that is not empty.
func (q *Queue[T]) Oldest() T { return q.entries[q.first].item }

// Age returns the time since the oldest item was added. The queue must not be empty.
func (q *Queue[T]) Age(now time.Time) time.Duration { return now.Sub(q.entries[q.first].at) }

// Exceeds reports whether the queue has more than limit items, or one that is ttl old.
func (q *Queue[T]) Exceeds(now time.Time, limit int, ttl time.Duration) bool {
	return q.Len() > limit || q.Len() > 0 && q.Age(now) >= ttl
}

// Drop removes the oldest item. The slice is reallocated when half of its entries have
// been removed.
func (q *Queue[T]) Drop() {
	q.entries[q.first] = entry[T]{}
	q.first++
	if q.first*2 >= len(q.entries) {
		q.entries = append(q.entries[:0:0], q.entries[q.first:]...)
		q.first = 0
	}
}
