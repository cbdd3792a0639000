package connector

import (
	"net/netip"
	"slices"
	"time"

	"github.com/go-kit/log/level"
)

// preferOld decides between two live sessions to the same run of a peer. When
// both ends dialled at about the same time, both have to choose the same one:
// the one that the lower name dialled. Later, a second dial means that the
// other end has found the first session dead, and the newer one counts. A
// session can't be found dead within least, so that time separates the two
// cases. Ends that disagree only keep a second session for longer.
func preferOld(old, fresh *session, self string, least time.Duration) bool {
	if old.dialled == fresh.dialled || fresh.opened.Sub(old.opened) >= least {
		return false
	}
	return old.diallerName(self) < fresh.diallerName(self)
}

// register makes an established session available for streams; the caller runs
// accept afterwards. The address that was dialled may differ from the one that the peer announces.
func (c *Connector) register(s *session, dialled netip.AddrPort) error {
	stale, err := c.add(s, dialled)
	for _, old := range stale {
		c.closeSession(old, "replaced")
	}
	if err != nil {
		s.cancel()
		_ = s.mux.Close()
		return err
	}
	level.Debug(c.Logger).Log("msg", "session opened", "peer", s.peer.Name, "address", s.peer.Address, "dialled", s.dialled)
	return nil
}

// add returns the sessions to other runs at the address, to be closed.
func (c *Connector) add(s *session, dialled netip.AddrPort) (stale []*session, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != running {
		return nil, ErrClosed
	}
	address := s.peer.Address
	// Two runs can't listen at one address, so that the run that has just made a
	// session is the present one.
	for _, old := range c.sessions[address] {
		if !old.peer.sameRun(s.peer) {
			stale = append(stale, old)
		}
	}
	list := slices.DeleteFunc(c.sessions[address], func(old *session) bool { return slices.Contains(stale, old) })
	if last := len(list) - 1; last >= 0 && preferOld(list[last], s, c.Self.Name, c.limits.Await+c.limits.Answer) {
		s.retired = true
		list = slices.Insert(list, last, s)
	} else {
		for _, old := range list {
			old.retired = true
		}
		list = append(list, s)
	}
	c.sessions[address] = list
	if t := c.targets[address]; t != nil {
		t.failures, t.retry = 0, time.Time{}
	}
	if dialled.IsValid() && dialled != address {
		c.aliases[dialled] = address
	}
	return stale, nil
}

// resolve returns the address that the peer at to announces.
func (c *Connector) resolve(to netip.AddrPort) netip.AddrPort {
	if address, ok := c.aliases[to]; ok {
		return address
	}
	return to
}

// candidates returns the sessions that may take a new stream, the preferred
// one first.
func (c *Connector) candidates(now time.Time, to netip.AddrPort) []*session {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []*session
	for _, s := range slices.Backward(c.sessions[c.resolve(to)]) {
		if s.away.IsZero() && !s.mux.IsClosed() && s.wire.silence(now) < c.limits.Stall {
			s.used = now
			list = append(list, s)
		}
	}
	return list
}

// remove forgets a session that has ended.
func (c *Connector) remove(s *session) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s.cancel()
	c.metrics.flush(s)
	address := s.peer.Address
	list := slices.DeleteFunc(c.sessions[address], func(other *session) bool { return other == s })
	if len(list) > 0 {
		list[len(list)-1].retired = false
		c.sessions[address] = list
		return
	}
	delete(c.sessions, address)
	for alias, to := range c.aliases {
		if to == address {
			delete(c.aliases, alias)
		}
	}
}

func (c *Connector) closeSession(s *session, reason string) {
	c.metrics.closed(reason)
	level.Debug(c.Logger).Log("msg", "session closed", "peer", s.peer.Name, "address", s.peer.Address, "reason", reason)
	s.cancel()
	// Closing the socket first keeps yamux from waiting for a peer that
	// doesn't read.
	_ = s.wire.Close()
	_ = s.mux.Close()
	c.remove(s)
}

// all returns every session.
func (c *Connector) all() []*session {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []*session
	for _, sessions := range c.sessions {
		list = append(list, sessions...)
	}
	return list
}
