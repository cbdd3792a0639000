package connector

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"github.com/go-kit/log/level"
	"github.com/pkg/errors"
)

// Bounds of the delay between dials to an unreachable peer.
const (
	minBackoff = 100 * time.Millisecond
	maxBackoff = 10 * time.Second
)

// ErrBackoff means that the last dial failed and the delay before the next dial
// has not passed.
var ErrBackoff = errors.New("dial backoff in effect")

// backoff returns an exponential delay with full jitter: it is uniform between
// zero and a bound that doubles with each failure.
func backoff(failures int, random func(n int64) int64) time.Duration {
	bound := maxBackoff
	if failures < 8 {
		bound = min(bound, minBackoff<<max(failures-1, 0))
	}
	return time.Duration(random(int64(bound)))
}

// dial is a dial in progress, which all callers for its address share.
type dial struct {
	done chan struct{}
	err  error
}

// target is the state of the dials to one address.
type target struct {
	current  *dial
	failures int
	retryAt  time.Time
}

// dial waits for the dial in progress to an address, and starts one if there is
// none.
func (c *Connector) dial(ctx context.Context, to netip.AddrPort) error {
	current, err := c.startDial(time.Now(), to)
	if err != nil {
		return err
	}
	select {
	case <-current.done:
		return current.err
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "wait for dial")
	}
}

func (c *Connector) startDial(now time.Time, to netip.AddrPort) (*dial, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != running {
		return nil, ErrClosed
	}
	t := c.targets[to]
	if t == nil {
		t = &target{}
		c.targets[to] = t
	}
	if t.current != nil {
		return t.current, nil
	}
	if wait := t.retryAt.Sub(now); wait > 0 {
		return nil, errors.Wrapf(ErrBackoff, "%s: %d failed dials, next dial in %s", to, t.failures, wait.Round(time.Millisecond))
	}
	t.current = &dial{done: make(chan struct{})}
	go c.runDial(to, t, t.current)
	return t.current, nil
}

func (c *Connector) runDial(to netip.AddrPort, t *target, d *dial) {
	ctx, cancel := context.WithTimeout(c.streamCtx, c.limits.Dial)
	defer cancel()
	s, err := c.connect(ctx, to)
	if err == nil {
		err = c.register(s, to)
	}
	if err == nil {
		go c.acceptStreams(s)
	}
	c.mu.Lock()
	t.current = nil
	if err != nil {
		t.failures++
		t.retryAt = time.Now().Add(backoff(t.failures, rand.Int64N))
	} else {
		delete(c.targets, to)
	}
	failures := t.failures
	c.mu.Unlock()
	if err != nil {
		c.metrics.dialled("failed")
		level.Debug(c.Logger).Log("msg", "dial failed", "address", to, "failures", failures, "err", err)
	} else {
		c.metrics.dialled("ok")
	}
	d.err = err
	close(d.done)
}

// localAddr returns the source address of dials, which is the listen address: on
// an instance with several addresses, peers see the address from the settings.
func (c *Connector) localAddr() net.Addr {
	if !c.Listen.IsValid() || c.Listen.Addr().IsUnspecified() {
		return nil
	}
	return &net.TCPAddr{IP: c.Listen.Addr().AsSlice()}
}

func (c *Connector) connect(ctx context.Context, to netip.AddrPort) (*session, error) {
	dialer := net.Dialer{KeepAlive: -1, LocalAddr: c.localAddr()}
	conn, err := dialer.DialContext(ctx, "tcp", to.String())
	if err != nil {
		return nil, errors.Wrap(err, "dial")
	}
	return c.establish(ctx, conn, true)
}
