// Package relayer forwards TCP connections on loopback and cuts, freezes or
// delays them, to put failures of the network between real processes.
package relayer

import (
	"cmp"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Rule says what happens to the traffic from a source.
type Rule struct {
	// Cut refuses new connections and closes the open ones.
	Cut bool
	// Freeze keeps connections open and forwards nothing.
	Freeze bool
	// Delay is added in each direction, and a random part of Jitter.
	Delay  time.Duration
	Jitter time.Duration
	// Loss is the fraction of segments that are lost once. They arrive after
	// Retransmission, or 200 ms if that is zero, and so do those behind them.
	Loss           float64
	Retransmission time.Duration
	// Blackhole makes the connections that are open when the rule is applied
	// swallow all traffic for good; new ones work.
	Blackhole bool
}

// delay returns the time that a segment is on its way.
func (r Rule) delay() time.Duration {
	delay := r.Delay
	if r.Jitter > 0 {
		delay += rand.N(r.Jitter)
	}
	if r.Loss > 0 && rand.Float64() < r.Loss {
		delay += cmp.Or(r.Retransmission, retransmission)
	}
	return delay
}

const (
	// chunkBytes is the most that is read at once.
	chunkBytes = 32 << 10
	// pendingChunks bounds what is delayed in one direction of a connection.
	pendingChunks = 1024
	dialTimeout   = time.Second
	// retransmission is the least timeout of Linux for a segment.
	retransmission = 200 * time.Millisecond
	// segmentBytes is the size of a segment where some are lost.
	segmentBytes = 1448
)

// Relayer forwards the connections to one listener.
type Relayer struct {
	listener net.Listener
	target   netip.AddrPort

	mutex   sync.Mutex
	changed *sync.Cond
	rule    func(source netip.Addr) Rule
	pairs   map[*pair]struct{}
	closed  bool
}

// pair is a forwarded connection.
type pair struct {
	source netip.Addr
	near   net.Conn
	far    net.Conn
	// silent says that the connection swallows all traffic.
	silent atomic.Bool
}

func (p *pair) close() {
	_ = p.near.Close()
	_ = p.far.Close()
}

// New listens on address and forwards to target without faults.
func New(address, target netip.AddrPort) (*Relayer, error) {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, errors.Wrap(err, "relay")
	}
	r := &Relayer{
		listener: listener, target: target, pairs: map[*pair]struct{}{},
		rule: func(netip.Addr) Rule { return Rule{} },
	}
	r.changed = sync.NewCond(&r.mutex)
	go r.accept()
	return r, nil
}

// Address returns the address that the relay listens on.
func (r *Relayer) Address() netip.AddrPort {
	return r.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Apply replaces the rule for each source address.
func (r *Relayer) Apply(rule func(source netip.Addr) Rule) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.rule = rule
	for p := range r.pairs {
		in := rule(p.source)
		if in.Cut {
			p.close()
		}
		if in.Blackhole {
			p.silent.Store(true)
		}
	}
	r.changed.Broadcast()
}

// Close ends the relay and its connections.
func (r *Relayer) Close() {
	_ = r.listener.Close()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.closed = true
	for p := range r.pairs {
		p.close()
	}
	r.changed.Broadcast()
}

func (r *Relayer) accept() {
	for {
		near, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.forward(near)
	}
}

func (r *Relayer) forward(near net.Conn) {
	source := near.RemoteAddr().(*net.TCPAddr).AddrPort().Addr().Unmap()
	if r.ruleFor(source).Cut {
		_ = near.Close()
		return
	}
	far, err := net.DialTimeout("tcp", r.target.String(), dialTimeout)
	if err != nil {
		_ = near.Close()
		return
	}
	p := &pair{source: source, near: near, far: far}
	if !r.add(p) {
		p.close()
		return
	}
	var directions sync.WaitGroup
	directions.Go(func() { r.copy(p, far, near) })
	directions.Go(func() { r.copy(p, near, far) })
	directions.Wait()
	p.close()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.pairs, p)
}

func (r *Relayer) add(p *pair) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.closed || r.rule(p.source).Cut {
		return false
	}
	r.pairs[p] = struct{}{}
	return true
}

func (r *Relayer) ruleFor(source netip.Addr) Rule {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.rule(source)
}

// chunk is data on its way with the time at which it arrives.
type chunk struct {
	data []byte
	due  time.Time
}

// copy forwards one direction. The end of the stream passes as a half close.
func (r *Relayer) copy(p *pair, to, from net.Conn) {
	chunks := make(chan chunk, pendingChunks)
	go func() {
		defer close(chunks)
		for {
			buffer := make([]byte, chunkBytes)
			n, err := from.Read(buffer)
			rule := r.ruleFor(p.source)
			size := chunkBytes
			if rule.Loss > 0 {
				size = segmentBytes
			}
			for part := range slices.Chunk(buffer[:n], size) {
				chunks <- chunk{part, time.Now().Add(rule.delay())}
			}
			if err != nil {
				return
			}
		}
	}()
	for c := range chunks {
		time.Sleep(time.Until(c.due))
		r.waitThawed(p)
		if p.silent.Load() {
			continue
		}
		if _, err := to.Write(c.data); err != nil {
			_ = from.Close()
		}
	}
	if half, ok := to.(*net.TCPConn); ok && !p.silent.Load() {
		_ = half.CloseWrite()
	}
}

// waitThawed blocks while the source's traffic is frozen.
func (r *Relayer) waitThawed(p *pair) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for r.rule(p.source).Freeze && !r.closed {
		r.changed.Wait()
	}
}
