package runner

import (
	"context"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/go-kit/log/level"

	"sycamorerun"
	"sycamorerun/node/governor"
	"sycamorerun/node/listener"
)

const (
	megabyte = 1 << 20
	// callerMemoryShare is the divisor of the memory that callers' connections may
	// hold. Garbage that is not yet collected takes as much again.
	callerMemoryShare = 4
	// heapShare is the fraction of the memory beyond which the heap is not to grow. The
	// rest is the program itself, and garbage of connections that have just ended.
	heapShare = 0.6
	// descriptorReserve is what is left for files, the store, the upstream and peers
	// when descriptors are few.
	descriptorReserve = 32
	// handshakeShare is the divisor of the descriptors that peers' handshakes may use.
	handshakeShare = 8
	// reservedConnections is the number of connections of each listener beside the
	// callers' that those of others can't displace.
	reservedConnections = 8
	// reservedBytes is what one of them may hold.
	reservedBytes = 64 << 10
	// doorHeader, doorIdle and doorBody limit the requests at the listeners beside the
	// callers'.
	doorHeader = 64 << 10
	doorIdle   = 2 * time.Minute
	doorBody   = 10 * time.Second
	// operatorBody is the largest part of a request that the operators' API holds.
	operatorBody = 8 * megabyte
	// checkPeriod is how often it is checked whether a bound still binds.
	checkPeriod = time.Second
)

// newGovernor returns the account of all callers' connections.
func (n *node) newGovernor() *governor.Governor {
	s := &n.settings
	g := &governor.Governor{Bytes: int64(s.Memory) * megabyte / callerMemoryShare, Now: time.Now}
	if s.Descriptors > 0 {
		g.Connections = max(descriptorReserve, s.Descriptors*3/4-descriptorReserve)
	}
	if s.Memory > 0 {
		debug.SetMemoryLimit(int64(heapShare * float64(s.Memory) * megabyte))
	}
	g.Started = func(bound governor.Bound) {
		_ = level.Warn(n.logger).Log("msg", "closing callers' connections to stay within a bound", "bound", bound)
	}
	g.Stopped = func(bound governor.Bound, ended int) {
		_ = level.Info(n.logger).Log("msg", "callers' connections stay within the bound again", "bound", bound, "closed", ended)
	}
	scope := n.scope.SubScope("governor")
	g.Evicted = func(door string, bound governor.Bound) {
		scope.Tagged(map[string]string{"door": door, "bound": bound.String()}).Counter("evicted").Inc(1)
	}
	return g
}

// maxHandshakes returns the number of handshakes with peers at a time, zero for the
// default.
func (s *Settings) maxHandshakes() int { return s.Descriptors / handshakeShare }

// watchGovernor reports what the callers' connections hold, until ctx ends.
func (n *node) watchGovernor(ctx context.Context) error {
	held := n.scope.SubScope("governor").Gauge("held_bytes")
	connections := n.scope.SubScope("governor").Gauge("connections")
	ticker := time.NewTicker(checkPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			n.governor.Check(now)
			bytes, count := n.governor.Held()
			held.Update(float64(bytes))
			connections.Update(float64(count))
		}
	}
}

// serveDoor returns a function that serves a listener beside the callers', with limits
// for its requests.
func (n *node) serveDoor(name string, server *http.Server, configure func(*listener.Listener)) func(context.Context) error {
	l := listener.New()
	l.SetLimits(sycamorerun.Limits{Header: doorHeader, Wait: sycamorerun.Duration(headerTimeout), Idle: sycamorerun.Duration(doorIdle)})
	l.Door = n.governor.Door(name, reservedConnections, reservedBytes)
	if configure != nil {
		configure(l)
	}
	l.Configure(server)
	return serveWrapped(server, l.Wrap)
}
