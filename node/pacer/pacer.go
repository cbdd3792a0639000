// Package pacer paces the large transfers of a node under the rate of its machine's
// link, so that small messages don't wait behind them in the buffers of sockets.
package pacer

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"
)

const (
	// usableShare is the share of the link's rate for payload. The rest is headers of
	// the protocols below.
	usableShare = 0.95
	// window is how long the link may be occupied with what was passed on to it.
	window = 10 * time.Millisecond
	// chunkTime is the time that the link takes for one chunk of a transfer.
	chunkTime = 5 * time.Millisecond
	// minChunk and maxChunk bound the bytes of a chunk.
	minChunk = 2 << 10
	maxChunk = 32 << 10
	// maxBacklog bounds the time for which small messages occupy the link. If they
	// exceed the rate for longer, the rate is lower than that of the link.
	maxBacklog = 100 * time.Millisecond
	// leastShare is the share of the rate that transfers get beside small messages
	// that fill the link. Without it they would be cut by idle timeouts.
	leastShare = 0.1
	// oldestGrantInterval is the number of chunks of which one goes to the transfer
	// that has waited the longest, whatever its rank.
	oldestGrantInterval = 8
)

// Transfer is a large body that is sent in chunks. Transfers of lower ranks go first,
// and of one rank the older ones.
type Transfer struct {
	Rank    int
	Started time.Time
}

func (t Transfer) compare(other Transfer) int {
	return cmp.Or(cmp.Compare(t.Rank, other.Rank), t.Started.Compare(other.Started))
}

// Pacer paces the transfers of a node. Its zero value paces nothing.
type Pacer struct {
	// Rate is the rate of the link in bits per second; zero means unknown. It is set
	// before the first call.
	Rate float64

	mutex sync.Mutex
	// free is when the link will have sent all that was passed on to it.
	free    time.Time
	waiting []*turn
	// overdue is when the next turn comes even if the link is occupied.
	overdue time.Time
	// passed counts the chunks that were passed on since the last one that had waited
	// the longest.
	passed int
	// timer is pending while turns wait.
	timer *time.Timer
	sizes map[Kind]*meanSize
	// admitted is the expected size of the large responses of each rank that were
	// admitted and have not been read yet.
	admitted map[int]float64
}

// turn is a chunk that waits for the link.
type turn struct {
	transfer Transfer
	since    time.Time
	bytes    int
	granted  chan struct{}
}

// Active reports whether transfers are paced.
func (p *Pacer) Active() bool { return p.Rate > 0 }

// Chunk returns the largest number of bytes of a chunk.
func (p *Pacer) Chunk() int {
	return max(minChunk, min(maxChunk, int(p.Rate/8*chunkTime.Seconds())))
}

// Charge counts bytes that are sent without waiting.
func (p *Pacer) Charge(now time.Time, bytes int) {
	if !p.Active() {
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	before := p.free
	p.charge(now, bytes)
	if limit := now.Add(maxBacklog); p.free.After(limit) {
		p.free = limit
		if before.After(limit) {
			p.free = before
		}
	}
}

// Wait returns when a chunk of the transfer may be sent, or with the error of ctx.
func (p *Pacer) Wait(ctx context.Context, now time.Time, transfer Transfer, bytes int) error {
	if !p.Active() {
		return nil
	}
	t := p.request(now, transfer, bytes)
	if t == nil {
		return nil
	}
	select {
	case <-t.granted:
		return nil
	case <-ctx.Done():
		p.withdraw(t)
		return context.Cause(ctx)
	}
}

// request passes a chunk on at once, or returns the turn that it waits for.
func (p *Pacer) request(now time.Time, transfer Transfer, bytes int) *turn {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if len(p.waiting) == 0 && p.delay(now) == 0 {
		p.charge(now, bytes)
		return nil
	}
	t := &turn{transfer: transfer, since: now, bytes: bytes, granted: make(chan struct{})}
	at, _ := slices.BinarySearchFunc(p.waiting, t, func(a, b *turn) int {
		return cmp.Or(a.transfer.compare(b.transfer), -1)
	})
	p.waiting = slices.Insert(p.waiting, at, t)
	if len(p.waiting) == 1 {
		p.setOverdue(now, bytes)
		p.schedule(now)
	}
	return t
}

// withdraw removes a turn that is no longer waited for.
func (p *Pacer) withdraw(t *turn) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if at := slices.Index(p.waiting, t); at >= 0 {
		p.waiting = slices.Delete(p.waiting, at, at+1)
	}
}

// grant passes on the chunks whose turn has come.
func (p *Pacer) grant(now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for len(p.waiting) > 0 && p.turnDelay(now) == 0 {
		at := p.next()
		next := p.waiting[at]
		p.waiting = slices.Delete(p.waiting, at, at+1)
		p.charge(now, next.bytes)
		p.setOverdue(now, next.bytes)
		close(next.granted)
	}
	if len(p.waiting) > 0 {
		p.schedule(now)
	}
}

// next returns the index of the turn that comes next.
func (p *Pacer) next() int {
	oldest := 0
	for at, t := range p.waiting {
		if t.since.Before(p.waiting[oldest].since) {
			oldest = at
		}
	}
	p.passed++
	if oldest != 0 && p.passed < oldestGrantInterval {
		return 0
	}
	p.passed = 0
	return oldest
}

// setOverdue sets when the turn after one of the given size comes at the latest.
func (p *Pacer) setOverdue(now time.Time, bytes int) {
	p.overdue = now.Add(p.sendTime(float64(bytes) / leastShare))
}

// turnDelay returns the time until the next turn comes.
func (p *Pacer) turnDelay(now time.Time) time.Duration {
	return min(p.delay(now), max(0, p.overdue.Sub(now)))
}

// delay returns the time until the link takes another chunk.
func (p *Pacer) delay(now time.Time) time.Duration {
	if !p.free.After(now) {
		return 0
	}
	return max(0, p.free.Sub(now)-window)
}

func (p *Pacer) charge(now time.Time, bytes int) {
	if p.free.Before(now) {
		p.free = now
	}
	p.free = p.free.Add(p.sendTime(float64(bytes)))
}

func (p *Pacer) schedule(now time.Time) {
	// At least a millisecond, since small messages keep moving the time.
	delay := max(p.turnDelay(now), time.Millisecond)
	if p.timer == nil {
		p.timer = time.AfterFunc(delay, func() { p.grant(time.Now()) })
		return
	}
	p.timer.Reset(delay)
}
