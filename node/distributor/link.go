package distributor

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"sycamorerun"
)

const (
	// sendTimeout is how long a frame may wait for a peer that reads nothing.
	sendTimeout = 3 * time.Second
	// linkRetryLeast and linkRetryMost bound the delay before a reconnect.
	minLinkRetry = 100 * time.Millisecond
	maxLinkRetry = 10 * time.Second
)

// link sends to one peer over a stream of its own, so that a slow peer delays
// no other one.
type link struct {
	peer  string
	stop  context.CancelFunc
	wake  chan struct{}
	mutex sync.Mutex
	queue queue
	// down is set when the peer expects its content from this node.
	child bool
}

func (l *link) enqueue(target target, version sycamorerun.Version, frame []byte) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	switch {
	case target.push:
		l.queue.addPush(version, frame)
	case target.direct:
		l.queue.replaceWithHave(version)
	default:
		l.queue.addHave(version)
	}
	signal(l.wake)
}

func (l *link) next() ([]byte, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.queue.next()
}

// restart replaces the queue's content by a Have, since the arrival of the
// last frame is unknown: the peer pulls what it lacks.
func (l *link) resetQueue(version sycamorerun.Version) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.child {
		l.queue.replaceWithHave(version)
	} else {
		l.queue.addHave(version)
	}
	signal(l.wake)
}

func (l *link) setChild(child bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.child = child
}

// run sends until ctx ends, reconnecting with full jitter.
func (l *link) run(ctx context.Context, d *Distributor) {
	failures := 0
	for ctx.Err() == nil {
		sent, err := l.session(ctx, d)
		if ctx.Err() != nil {
			return
		}
		if sent {
			failures = 0
		}
		failures++
		level.Debug(d.Logger).Log("msg", "link failed; reconnecting", "peer", l.peer, "err", err)
		l.resetQueue(d.HeldVersion())
		if !sleep(ctx, backoff(failures, minLinkRetry, maxLinkRetry, d.Random())) {
			return
		}
	}
}

// session opens a stream when there is something to send and sends on it
// until an error.
func (l *link) session(ctx context.Context, d *Distributor) (sent bool, err error) {
	var stream net.Conn
	for {
		data, ok := l.next()
		if !ok {
			select {
			case <-l.wake:
				continue
			case <-ctx.Done():
				return sent, ctx.Err()
			}
		}
		if stream == nil {
			if stream, err = d.open(ctx, l.peer, sendTimeout); err != nil {
				return sent, errors.Wrap(err, "open")
			}
			defer closeWith(ctx, stream)()
		}
		_ = stream.SetWriteDeadline(time.Now().Add(sendTimeout))
		if _, err := stream.Write(data); err != nil {
			return sent, errors.Wrap(err, "send")
		}
		d.count("distributor_sent_bytes", len(data))
		sent = true
	}
}

// closeWith closes stream when ctx ends, which interrupts a blocked read or
// write. The returned function closes it at once.
func closeWith(ctx context.Context, stream net.Conn) func() {
	stop := context.AfterFunc(ctx, func() { _ = stream.Close() })
	return func() {
		stop()
		_ = stream.Close()
	}
}

func signal(wake chan struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}

func sleep(ctx context.Context, delay time.Duration) bool {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
