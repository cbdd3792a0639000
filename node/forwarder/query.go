package forwarder

import (
	"context"
	"net"
	"time"

	"sycamorerun"
	"sycamorerun/encoder"
)

// queryBytes bounds the size of the frames of a query.
const queryBytes = 1 << 10

// query asks the node of an instance for the state of a call that was opened age
// ago.
func (f *Forwarder) query(ctx context.Context, to sycamorerun.Instance, id string, age time.Duration) (CallState, error) {
	conn, err := f.Open(ctx, to.Address, KindQuery)
	if err != nil {
		return CallUnknown, err
	}
	defer func() { _ = conn.Close() }()
	release := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer release()
	if _, err := encoder.Write(conn, &Ask{Id: id, AgeMs: age.Milliseconds() + 1}); err != nil {
		return CallUnknown, err
	}
	state, err := encoder.Read[State](conn, queryBytes)
	if err != nil {
		return CallUnknown, err
	}
	return CallState(state.GetState()), nil
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
