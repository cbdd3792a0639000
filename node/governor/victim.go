package governor

import (
	"cmp"
	"net/netip"
)

// costliest returns the connection that costs most among those of the address that
// costs most, or nil if all are protected.
func (g *Governor) costliest() *Holder {
	return g.worst(func(u *usage) int64 { return u.bytes }, func(a, b *Holder) int {
		// The costs of two connections of a crowd differ little, so that their
		// progress decides.
		return cmp.Or(cmp.Compare(a.bytes/connectionBytes, b.bytes/connectionBytes), b.since.Compare(a.since))
	})
}

// leastActive returns the connection that has been without progress for longest among
// those of the address with the most connections: one without a request before one
// with a request. It returns nil if all are protected.
func (g *Governor) leastActive() *Holder {
	return g.worst(func(u *usage) int64 { return int64(u.connections) }, func(a, b *Holder) int {
		if a.busy != b.busy {
			return cmp.Compare(boolRank(b.busy), boolRank(a.busy))
		}
		return b.since.Compare(a.since)
	})
}

// worst returns the holder that compare puts last among those of the source with the
// largest cost. Sources whose connections are all protected are passed over.
func (g *Governor) worst(cost func(*usage) int64, compare func(a, b *Holder) int) *Holder {
	worst := map[netip.Addr]*Holder{}
	for h := range g.holders {
		if h.door.protected() {
			continue
		}
		if best := worst[h.source]; best == nil || compare(h, best) > 0 {
			worst[h.source] = h
		}
	}
	var result *Holder
	for source, h := range worst {
		if result == nil || cost(g.sources[source]) > cost(g.sources[result.source]) {
			result = h
		}
	}
	return result
}

// protected reports whether the connections of the door are within what is reserved
// for it.
func (d *Door) protected() bool {
	return d.used.connections <= d.reserved && d.used.bytes <= d.reservedBytes
}

func boolRank(b bool) int {
	if b {
		return 1
	}
	return 0
}
