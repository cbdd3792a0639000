package forwarder

import (
	"context"
	"net"

	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"sycamorerun"
	"sycamorerun/encoder"
)

// queryBytes bounds the size of the frames of a query.
const queryBytes = 1 << 10

// errOtherRun means that the run that the call was sent to can't be queried.
var errOtherRun = errors.New("another run of the peer, which does not know the call")

// sentAttempt identifies an attempt that was sent to a peer.
type sentAttempt struct {
	// id is the id of the attempt for logs.
	id       string
	session  sycamorerun.Session
	sequence uint64
}

// query asks the run of a node that an attempt was sent to for the state of the attempt.
// Another run knows neither what the first one has received nor what it has run.
func (f *Forwarder) query(ctx context.Context, to sycamorerun.Instance, sent sentAttempt) (state CallState, err error) {
	if sent.session.Number == 0 {
		return CallUnknown, errors.New("the peer does not number its sessions")
	}
	conn, err := f.Open(ctx, to.Address, KindQuery)
	if err != nil {
		return CallUnknown, err
	}
	defer func() { _ = conn.Close() }()
	asked := remoteSession(conn)
	defer func() { f.recordQuery(sent, asked, state, err) }()
	if asked.Run != sent.session.Run {
		return CallUnknown, errOtherRun
	}
	release := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer release()
	ask := &Ask{
		Id: sent.id, Node: sent.session.Name, Boot: sent.session.Boot, Session: sent.session.Number, Sequence: sent.sequence,
	}
	if _, err := encoder.Write(conn, ask); err != nil {
		return CallUnknown, err
	}
	answer, err := encoder.Read[State](conn, queryBytes)
	if err != nil {
		return CallUnknown, err
	}
	return CallState(answer.GetState()), nil
}

// remoteSession returns the session of a stream as the peer knows it.
func remoteSession(stream net.Conn) sycamorerun.Session {
	if s, ok := stream.(interface{ RemoteSession() sycamorerun.Session }); ok {
		return s.RemoteSession()
	}
	return sycamorerun.Session{}
}

// localSession returns this node's number of the session of a stream.
func localSession(stream net.Conn) uint64 {
	if s, ok := stream.(interface{ LocalSession() uint64 }); ok {
		return s.LocalSession()
	}
	return 0
}

// recordQuery counts and logs a query about an attempt over the session asked.
func (f *Forwarder) recordQuery(sent sentAttempt, asked sycamorerun.Session, state CallState, err error) {
	f.Scope.Tagged(map[string]string{"state": string(state)}).Counter("call_queries").Inc(1)
	_ = level.Debug(f.Logger).Log("msg", "peer queried about a lost call", "request", sent.id, "peer", sent.session.Name,
		"boot", sent.session.Boot, "session", sent.session.Number, "queried", asked.Name, "queried_boot", asked.Boot,
		"queried_session", asked.Number, "state", state, "err", err)
}

// ServeQuery handles a stream of kind query.
func (f *Forwarder) ServeQuery(_ context.Context, stream net.Conn) {
	defer func() { _ = stream.Close() }()
	_ = stream.SetDeadline(f.Now().Add(headTimeout))
	ask, err := encoder.Read[Ask](stream, queryBytes)
	if err != nil {
		return
	}
	sent := sycamorerun.Session{Run: sycamorerun.Run{Name: ask.GetNode(), Boot: ask.GetBoot()}, Number: ask.GetSession()}
	state := f.Refuse(sent, ask.GetSequence())
	_ = level.Debug(f.Logger).Log("msg", "query about a call", "request", ask.GetId(), "boot", sent.Boot, "session", sent.Number, "state", state)
	_, _ = encoder.Write(stream, &State{State: string(state)})
}
