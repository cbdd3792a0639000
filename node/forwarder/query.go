package forwarder

import (
	"context"
	"net"
	"time"

	"github.com/go-kit/log/level"

	"sycamorerun"
	"sycamorerun/encoder"
)

// queryBytes bounds the size of the frames of a query.
const queryBytes = 1 << 10

// query asks the node of an instance for the state of a call that was opened age
// ago.
func (f *Forwarder) query(ctx context.Context, to sycamorerun.Instance, sent sycamorerun.Session, id string, age time.Duration) (state CallState, err error) {
	conn, err := f.Open(ctx, to.Address, KindQuery)
	if err != nil {
		return CallUnknown, err
	}
	defer func() { _ = conn.Close() }()
	defer func() { f.recordQuery(id, sent, remoteSession(conn), state, err) }()
	release := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer release()
	if _, err := encoder.Write(conn, &Ask{Id: id, AgeMs: age.Milliseconds() + 1}); err != nil {
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

// recordQuery counts and logs a query about a call. The call was sent over the session
// sent, the query over the session asked.
func (f *Forwarder) recordQuery(id string, sent, asked sycamorerun.Session, state CallState, err error) {
	f.Scope.Tagged(map[string]string{"state": string(state)}).Counter("call_queries").Inc(1)
	_ = level.Debug(f.Logger).Log("msg", "peer queried about a lost call", "request", id, "peer", sent.Name,
		"boot", sent.Boot, "session", sent.Number, "queried", asked.Name, "queried_boot", asked.Boot, "queried_session", asked.Number,
		"state", state, "err", err)
}

// ServeQuery handles a stream of kind query.
func (f *Forwarder) ServeQuery(_ context.Context, stream net.Conn) {
	defer func() { _ = stream.Close() }()
	_ = stream.SetDeadline(f.Now().Add(headTimeout))
	query, err := encoder.Read[Ask](stream, queryBytes)
	if err != nil {
		return
	}
	state := f.Refuse(f.Now(), query.GetId(), time.Duration(query.GetAgeMs())*time.Millisecond)
	_, _ = encoder.Write(stream, &State{State: string(state)})
}
