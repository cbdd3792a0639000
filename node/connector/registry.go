package connector

import (
	"net/netip"
	"slices"
	"time"

	"github.com/go-kit/log/level"
)

// preferOlder reports whether the older of two live sessions to the same run of a
// peer takes the new streams. If both ends dialled at about the same time, both have
// to choose the same session: the one dialled by the node with the lower name. A
// later dial by the other end means that it found the older session dead, so the
// newer session is preferred. A session can't be found dead within window, which
// therefore separates the two cases. If the ends disagree, a second session only
// stays open for longer.
func preferOlder(older, newer *session, self string, window time.Duration) bool {
	if older.dialled == newer.dialled || newer.opened.Sub(older.opened) >= window {
		return false
	}
	return older.diallerName(self) < newer.diallerName(self)
}

// register makes an established session available for streams. The caller runs
// acceptStreams afterwards. The dialled address may differ from the address that
// the peer announces; it is invalid for an inbound session.
func (c *Connector) register(s *session, dialledAddress netip.AddrPort) error {
	stale, err := c.add(s, dialledAddress)
	for _, old := range stale {
		c.closeSession(old, "replaced")
	}
	if err != nil {
		s.cancel()
		_ = s.mux.Close()
		c.awaitHandlers(s)
		return err
	}
	level.Debug(c.Logger).Log("msg", "session opened", "peer", s.peer.Name, "address", s.peer.Address, "dialled", s.dialled)
	return nil
}

// add adds a session and returns the sessions to other runs of the peer at its
// address, which the caller closes.
func (c *Connector) add(s *session, dialledAddress netip.AddrPort) (stale []*session, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != running {
		return nil, ErrClosed
	}
	address := s.peer.Address
	// Two processes can't listen on the same address, so the run with the newest
	// session is the current run.
	for _, old := range c.sessions[address] {
		if !old.peer.sameRun(s.peer) {
			stale = append(stale, old)
		}
	}
	list := slices.DeleteFunc(c.sessions[address], func(old *session) bool { return slices.Contains(stale, old) })
	if last := len(list) - 1; last >= 0 && preferOlder(list[last], s, c.Self.Name, c.limits.CallPing+c.limits.PongTimeout) {
		s.superseded = true
		list = slices.Insert(list, last, s)
	} else {
		for _, old := range list {
			old.superseded = true
		}
		list = append(list, s)
	}
	c.sessions[address] = list
	if t := c.targets[address]; t != nil {
		t.failures, t.retryAt = 0, time.Time{}
	}
	if dialledAddress.IsValid() && dialledAddress != address {
		c.aliases[dialledAddress] = address
	}
	return stale, nil
}

// resolve returns the announced address of the peer at a dialled address.
func (c *Connector) resolve(to netip.AddrPort) netip.AddrPort {
	if address, ok := c.aliases[to]; ok {
		return address
	}
	return to
}

// candidates returns the sessions that can take a new stream, in order of
// preference.
func (c *Connector) candidates(now time.Time, to netip.AddrPort) []*session {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []*session
	for _, s := range slices.Backward(c.sessions[c.resolve(to)]) {
		if s.goAwaySent.IsZero() && !s.mux.IsClosed() && s.conn.silence(now) < c.limits.Stall {
			s.lastUsed = now
			list = append(list, s)
		}
	}
	return list
}

// remove removes a session that has ended.
func (c *Connector) remove(s *session) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s.cancel()
	c.metrics.flush(s)
	address := s.peer.Address
	list := slices.DeleteFunc(c.sessions[address], func(other *session) bool { return other == s })
	if len(list) > 0 {
		list[len(list)-1].superseded = false
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
	// The connection is closed first, so that yamux does not block on a write to a
	// peer that does not read.
	_ = s.conn.Close()
	_ = s.mux.Close()
	c.remove(s)
}

// all returns all sessions.
func (c *Connector) all() []*session {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []*session
	for _, sessions := range c.sessions {
		list = append(list, sessions...)
	}
	return list
}
