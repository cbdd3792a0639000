package tracker

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"sycamorerun"
	"sycamorerun/encoder"
)

// TestEarlierDepartures guards against a run that doesn't learn from its peers what the
// runs before it confirmed, or takes a peer for informed that knows no earlier run.
func TestEarlierDepartures(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	departure := func(id string, at time.Time) []sycamorerun.Departure {
		return []sycamorerun.Departure{{ID: id, Boot: 5, At: at}}
	}
	newNode := func(now time.Time, name string, boot uint32) *table {
		return newTable(now, sycamorerun.Instance{
			Name: name, Incarnation: sycamorerun.NewIncarnation(boot), Address: address(1), AvailabilityZone: "z", Region: "r",
		}, time.Second)
	}
	// send merges the record of a node into the peer's table, as it arrives there.
	send := func(is *is.I, now time.Time, from, to *table) {
		message, err := proto.Marshal(encode(now, from.records[from.self.name]))
		is.NoErr(err)
		var received Record
		is.NoErr(proto.Unmarshal(message, &received))
		r, err := decode(now, &received)
		is.NoErr(err)
		to.merge(now, r)
	}
	cases := map[string]struct {
		play func(is *is.I, peer, first, second *table)
		at   time.Duration
		want []string
		ok   bool
	}{
		"unknown node":               {play: func(*is.I, *table, *table, *table) {}},
		"unknown node, peer settled": {play: func(*is.I, *table, *table, *table) {}, at: settleTime, ok: true},
		"only the current run":       {play: func(is *is.I, peer, _, second *table) { send(is, start, second, peer) }},
		"earlier run, no departure":  {play: func(is *is.I, peer, first, _ *table) { send(is, start, first, peer) }, ok: true},
		"current run after an earlier": {play: func(is *is.I, peer, first, second *table) {
			first.setDepartures(start, departure("a", start))
			send(is, start, first, peer)
			send(is, start, second, peer)
			second.setDepartures(start, departure("b", start))
			send(is, start, second, peer)
		}, want: []string{"a", "b"}, ok: true},
		"earlier run": {play: func(is *is.I, peer, first, _ *table) {
			first.setDepartures(start, departure("a", start))
			send(is, start, first, peer)
		}, want: []string{"a"}, ok: true},
		"long ago": {play: func(is *is.I, peer, first, _ *table) {
			first.setDepartures(start, departure("a", start))
			send(is, start, first, peer)
		}, at: departureAge, ok: true},
		"suspected": {play: func(is *is.I, peer, first, _ *table) {
			first.setDepartures(start, departure("a", start))
			send(is, start, first, peer)
			is.True(peer.markSuspect(start, "n"))
		}, want: []string{"a"}, ok: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			// The incarnation of the second run is higher, so that the peer takes it.
			peer, first, second := newNode(start, "peer", 1), newNode(start, "n", 2), newNode(start, "n", 3)
			c.play(is, peer, first, second)
			now := start.Add(c.at)
			var frame Frame
			peer.describeRuns(now, &frame, "n")
			departures, ok, err := second.earlierDepartures(now, &frame)
			is.NoErr(err)
			is.Equal(ok, c.ok)
			var ids []string
			for _, d := range departures {
				ids = append(ids, d.ID)
			}
			is.Equal(ids, c.want)
		})
	}
}

// TestOwnDeparturesExpire guards against departures that stay in the records of all
// members for good.
func TestOwnDeparturesExpire(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1_000_000, 0)
	node := newTable(start, sycamorerun.Instance{Name: "n", Incarnation: sycamorerun.NewIncarnation(1), Address: address(1)}, time.Second)
	is.True(node.setDepartures(start, []sycamorerun.Departure{{ID: "a", Boot: 5, At: start}}))
	is.True(!node.setDepartures(start, []sycamorerun.Departure{{ID: "a", Boot: 5, At: start}}))
	is.True(!node.tickSelf(start.Add(departureAge - 1)))
	is.True(node.tickSelf(start.Add(departureAge)))
	is.Equal(len(node.records["n"].departures), 0)
}

// TestInvalidDepartures guards against departures of a faulty peer that exceed the
// limits.
func TestInvalidDepartures(t *testing.T) {
	cases := map[string][]*Departure{
		"no id":         {{Boot: 5}},
		"negative boot": {{Id: "a", Boot: -5}},
		"negative last": {{Id: "a", Last: -5}},
		"long id":       {{Id: string(make([]byte, maxIDBytes+1))}},
		"too many":      make([]*Departure, maxDepartures+1),
	}
	for name, messages := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := decodeDepartures(time.Now(), messages)
			is.New(t).True(err != nil)
		})
	}
}

// TestInvalidFirstFrame guards against a link that stays registered although the
// departures in its first frame are invalid.
func TestInvalidFirstFrame(t *testing.T) {
	is := is.New(t)
	tr := &Tracker{Self: sycamorerun.Instance{
		Name: "n", Incarnation: sycamorerun.NewIncarnation(1), Address: address(1), AvailabilityZone: "z", Region: "r",
	}}
	tr.setup()
	tr.running = true
	peer, conn := net.Pipe()
	defer peer.Close()
	ended := make(chan struct{})
	go func() {
		tr.Serve(t.Context(), "peer", conn)
		close(ended)
	}()
	_, err := encoder.Write(peer, &Frame{From: "peer", Heartbeat: &Heartbeat{}, Settled: true, RunDepartures: []*Departure{{Boot: 5}}})
	is.NoErr(err)
	_, _ = encoder.Read[Frame](peer, maxFrameBytes)
	<-ended
	is.True(tr.linkTo("peer") == nil)
}
