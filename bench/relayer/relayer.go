// Package relayer forwards TCP connections on loopback and injects network faults
// between real processes: closed, stalled, delayed, lossy and blackholed
// connections.
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

// Rule defines the faults that are injected into the traffic from a source.
type Rule struct {
	// Cut closes the open connections and each new one.
	Cut bool
	// Freeze keeps connections open and holds back their data.
	Freeze bool
	// Delay and a random part of Jitter are added in each direction.
	Delay  time.Duration
	Jitter time.Duration
	// Loss is the fraction of segments that are lost once. A lost segment and those
	// behind it are delayed by Retransmission, or 200 ms if that is zero.
	Loss           float64
	Retransmission time.Duration
	// Blackhole makes the connections that are open when the rule is applied discard
	// all traffic permanently. New connections work.
	Blackhole bool
}

// delay returns the transit time of a segment.
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
	// chunkBytes is the maximum size of a read.
	chunkBytes = 32 << 10
	// pendingChunks limits the delayed chunks in one direction of a connection.
	pendingChunks = 1024
	dialTimeout   = time.Second
	// retransmission is the minimum retransmission timeout of Linux.
	retransmission = 200 * time.Millisecond
	// segmentBytes is the segment size for rules with Loss.
	segmentBytes = 1448
)

// Relayer forwards the connections that one listener accepts.
type Relayer struct {
	listener net.Listener
	target   netip.AddrPort

	mutex   sync.Mutex
	changed *sync.Cond
	rule    func(source netip.Addr) Rule
	conns   map[*forwardedConn]struct{}
	closed  bool
}

// forwardedConn is a forwarded connection: the one of the client and the one to the
// target.
type forwardedConn struct {
	source netip.Addr
	client net.Conn
	server net.Conn
	// blackholed says that the connection discards all traffic.
	blackholed atomic.Bool
}

func (conn *forwardedConn) close() {
	_ = conn.client.Close()
	_ = conn.server.Close()
}

// New listens on address and forwards connections to target, at first without
// faults.
func New(address, target netip.AddrPort) (*Relayer, error) {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, errors.Wrap(err, "open relay listener")
	}
	r := &Relayer{
		listener: listener, target: target, conns: map[*forwardedConn]struct{}{},
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

// Apply replaces the function that returns the rule for a source address.
func (r *Relayer) Apply(rule func(source netip.Addr) Rule) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.rule = rule
	for conn := range r.conns {
		applied := rule(conn.source)
		if applied.Cut {
			conn.close()
		}
		if applied.Blackhole {
			conn.blackholed.Store(true)
		}
	}
	r.changed.Broadcast()
}

// Close closes the listener and all connections.
func (r *Relayer) Close() {
	_ = r.listener.Close()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.closed = true
	for conn := range r.conns {
		conn.close()
	}
	r.changed.Broadcast()
}

func (r *Relayer) accept() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.forward(client)
	}
}

func (r *Relayer) forward(client net.Conn) {
	source := client.RemoteAddr().(*net.TCPAddr).AddrPort().Addr().Unmap()
	if r.ruleFor(source).Cut {
		_ = client.Close()
		return
	}
	server, err := net.DialTimeout("tcp", r.target.String(), dialTimeout)
	if err != nil {
		_ = client.Close()
		return
	}
	conn := &forwardedConn{source: source, client: client, server: server}
	if !r.add(conn) {
		conn.close()
		return
	}
	var directions sync.WaitGroup
	directions.Go(func() { r.copy(conn, server, client) })
	directions.Go(func() { r.copy(conn, client, server) })
	directions.Wait()
	conn.close()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.conns, conn)
}

func (r *Relayer) add(conn *forwardedConn) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.closed || r.rule(conn.source).Cut {
		return false
	}
	r.conns[conn] = struct{}{}
	return true
}

func (r *Relayer) ruleFor(source netip.Addr) Rule {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.rule(source)
}

// chunk is delayed data with the time at which it is due at the receiver.
type chunk struct {
	data []byte
	due  time.Time
}

// copy forwards one direction of a connection. The end of the stream is forwarded
// as a half close.
func (r *Relayer) copy(conn *forwardedConn, to, from net.Conn) {
	chunks := make(chan chunk, pendingChunks)
	go func() {
		defer close(chunks)
		for {
			buffer := make([]byte, chunkBytes)
			n, err := from.Read(buffer)
			rule := r.ruleFor(conn.source)
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
		r.waitWhileFrozen(conn)
		if conn.blackholed.Load() {
			continue
		}
		if _, err := to.Write(c.data); err != nil {
			_ = from.Close()
		}
	}
	if tcp, ok := to.(*net.TCPConn); ok && !conn.blackholed.Load() {
		_ = tcp.CloseWrite()
	}
}

// waitWhileFrozen blocks while the traffic of the source is frozen.
func (r *Relayer) waitWhileFrozen(conn *forwardedConn) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for r.rule(conn.source).Freeze && !r.closed {
		r.changed.Wait()
	}
}
