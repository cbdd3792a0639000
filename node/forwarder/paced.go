package forwarder

import (
	"context"
	"time"

	"sycamorerun/node/pacer"
)

// pacedBody is a large body that is passed on under the rate of the link.
type pacedBody struct {
	bodySource
	ctx      context.Context
	pacer    *pacer.Pacer
	now      func() time.Time
	transfer pacer.Transfer
	// rest is what was read and not passed on yet.
	rest []byte
}

// pace returns a body that is paced if the rate of the link is known.
func (f *Forwarder) pace(ctx context.Context, c *call, body bodySource) bodySource {
	if !f.Pacer.Active() {
		return body
	}
	return &pacedBody{
		bodySource: body, ctx: ctx, pacer: f.Pacer, now: f.Now,
		transfer: pacer.Transfer{Rank: c.match.Rank, Started: f.Now()},
	}
}

// Next implements bodySource.
func (b *pacedBody) Next() ([]byte, error) {
	if len(b.rest) == 0 {
		data, err := b.bodySource.Next()
		if err != nil {
			return nil, err
		}
		b.rest = data
	}
	chunk := b.rest[:min(len(b.rest), b.pacer.Chunk())]
	if err := b.pacer.Wait(b.ctx, b.now(), b.transfer, len(chunk)); err != nil {
		return nil, err
	}
	b.rest = b.rest[len(chunk):]
	return chunk, nil
}
