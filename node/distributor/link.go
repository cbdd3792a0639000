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
	// sendTimeout bounds the write of a frame to a peer that does not read.
	sendTimeout = 3 * time.Second
	// minLinkRetry and maxLinkRetry bound the delay before a reconnect.
	minLinkRetry = 100 * time.Millisecond
	maxLinkRetry = 10 * time.Second
)

// link sends to one peer over a separate stream, so that a slow peer does not
// delay others.
type link struct {
	peer  string
	stop  context.CancelFunc
	wake  chan struct{}
	mutex sync.Mutex
	queue queue
	// child is set when the peer is a child in the first tree and expects pushes
	// from this node.
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

// resetQueue queues a Have of version, which replaces the queued frames of a
// child. It is unknown whether the last frame arrived, so the peer pulls what it
// lacks.
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

// run sends until ctx is done and reconnects after a backoff with full jitter.
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

// session opens a stream once a frame is queued and writes frames to it until an
// error occurs.
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
				return sent, errors.Wrap(err, "open stream")
			}
			defer closeWith(ctx, stream)()
		}
		_ = stream.SetWriteDeadline(time.Now().Add(sendTimeout))
		if _, err := stream.Write(data); err != nil {
			return sent, errors.Wrap(err, "write frame")
		}
		d.count("distributor_sent_bytes", len(data))
		sent = true
	}
}

// closeWith closes stream when ctx is done, which interrupts a blocked read or
// write. The returned function closes it immediately.
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
