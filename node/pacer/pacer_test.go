package pacer

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1000, 0)

func granted(t *turn) bool {
	if t == nil {
		return true
	}
	select {
	case <-t.granted:
		return true
	default:
		return false
	}
}

// TestPace guards against transfers that fill the buffers of the sockets, against a
// transfer that is held back on a free link, and against small messages that don't
// count.
func TestPace(t *testing.T) {
	cases := map[string]struct {
		rate  float64
		small int // bytes of small messages per millisecond
		// least and most bound the bytes that transfers send in a second.
		least, most int
	}{
		"13 Mbit/s":                         {13e6, 0, 1_500_000, 1_625_000},
		"200 Mbit/s":                        {200e6, 0, 23_000_000, 25_000_000},
		"13 Mbit/s, half is small messages": {13e6, 800, 700_000, 825_000},
		"13 Mbit/s, small messages only":    {13e6, 1600, 0, 40_000},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := &Pacer{Rate: c.rate}
			sent := 0
			for ms := range 1000 {
				now := start.Add(time.Duration(ms) * time.Millisecond)
				p.Charge(now, c.small)
				for p.delay(now) == 0 {
					is.Equal(p.request(now, Transfer{}, p.Chunk()), nil)
					sent += p.Chunk()
				}
				if c.small < 1000 {
					// A small message waits behind one chunk more than the window.
					is.True(p.free.Sub(now) <= window+2*chunkTime)
				}
			}
			is.True(sent >= c.least && sent <= c.most)
		})
	}
	is := is.New(t)
	unused := &Pacer{Rate: 13e6}
	is.Equal(unused.request(start, Transfer{}, unused.Chunk()), nil)
	unknown := &Pacer{}
	is.NoErr(unknown.Wait(context.Background(), start, Transfer{}, 1<<30))
}

// TestOrder guards against an urgent transfer that waits behind others, and against
// younger transfers that overtake older ones.
func TestOrder(t *testing.T) {
	is := is.New(t)
	p := &Pacer{Rate: 8e6}
	p.Charge(start, 1<<20)
	young := p.request(start, Transfer{Rank: 4, Started: start.Add(time.Second)}, 1000)
	old := p.request(start, Transfer{Rank: 4, Started: start}, 1000)
	urgent := p.request(start, Transfer{Rank: 1, Started: start.Add(time.Second)}, 100_000)
	gone := p.request(start, Transfer{Rank: 2, Started: start}, 1000)
	p.withdraw(gone)
	p.grant(start)
	is.True(!granted(urgent))
	p.grant(p.free)
	is.True(granted(urgent) && !granted(old) && !granted(young) && !granted(gone))
	p.grant(p.free)
	is.True(granted(old) && granted(young) && !granted(gone))
}

// TestCanceled guards against a transfer that waits on for a call that has ended.
func TestCanceled(t *testing.T) {
	is := is.New(t)
	p := &Pacer{Rate: 1}
	p.Charge(time.Now(), 1<<20)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	is.True(p.Wait(ctx, time.Now(), Transfer{}, 1000) != nil)
	is.Equal(len(p.waiting), 0)
}

// TestAdmit guards against more large responses than the link can carry in time, and
// against the refusal of small ones, of the only one, or on a link of unknown rate.
func TestAdmit(t *testing.T) {
	export := Kind{Service: "exports", Rank: 4, Objective: 800 * time.Millisecond}
	cases := map[string]struct {
		rate  float64
		kind  Kind
		bytes int64
		// admitted is the number of calls that are admitted at once, of 20.
		admitted int
	}{
		"large, slow link":      {13e6, export, 90_000, 6},
		"large, fast link":      {200e6, export, 90_000, 20},
		"small, slow link":      {13e6, export, 5_000, 20},
		"huge":                  {1e6, export, 10_000_000, 1},
		"rate unknown":          {0, export, 90_000, 20},
		"without objective":     {13e6, Kind{Service: "exports"}, 90_000, 20},
		"nothing known of size": {13e6, export, 0, 20},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := &Pacer{Rate: c.rate}
			if c.bytes > 0 {
				p.Record(c.kind, c.bytes)
			}
			var release []func()
			for range 20 {
				sent, wait := p.Admit(c.kind)
				is.Equal(sent == nil, wait > 0)
				if sent != nil {
					release = append(release, sent)
				}
			}
			is.Equal(len(release), c.admitted)
			for _, sent := range release {
				sent()
			}
			is.Equal(p.admittedUpTo(c.kind.Rank), 0.0)
		})
	}
}

// TestLeastShare guards against a large response that never ends, and is cut by an idle
// timeout, beside small messages that fill the link or exceed a rate that is set too
// low, and against one that waits on after they have ended.
func TestLeastShare(t *testing.T) {
	cases := map[string]struct {
		factor float64 // bytes of small messages relative to the rate
		// chunks is the least number that is sent in ten seconds of small messages.
		chunks int64
	}{
		"full link":    {1.1, 150},
		"rate too low": {10, 150},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				const rate = 13e6
				p := &Pacer{Rate: rate}
				var sent atomic.Int64
				ctx, cancel := context.WithCancel(t.Context())
				go func() {
					for p.Wait(ctx, time.Now(), Transfer{}, p.Chunk()) == nil {
						sent.Add(1)
					}
				}()
				for range 10_000 {
					p.Charge(time.Now(), int(c.factor*rate/8/1000))
					time.Sleep(time.Millisecond)
				}
				synctest.Wait()
				is.True(sent.Swap(0) >= c.chunks)
				time.Sleep(time.Second)
				synctest.Wait()
				is.True(float64(sent.Load())*float64(p.Chunk()) > 0.85*rate/8)
				cancel()
				synctest.Wait()
			})
		})
	}
}

// TestUrgentTransfers guards against a less urgent transfer that is sent nothing, and
// is cut by an idle timeout, while more urgent ones fill the link.
func TestUrgentTransfers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := &Pacer{Rate: 13e6}
		ctx, cancel := context.WithCancel(t.Context())
		var sent [5]atomic.Int64
		send := func(rank int) {
			for p.Wait(ctx, time.Now(), Transfer{Rank: rank}, p.Chunk()) == nil {
				sent[rank].Add(1)
			}
		}
		for range 4 {
			go send(1)
		}
		time.Sleep(100 * time.Millisecond)
		go send(4)
		time.Sleep(10 * time.Second)
		cancel()
		synctest.Wait()
		is.True(sent[4].Load() >= 100)
		is.True(sent[1].Load() >= 6*sent[4].Load())
	})
}

// TestManyTransfers guards against chunks that wait although the link is free, because
// each new transfer postpones the turn of all.
func TestManyTransfers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := &Pacer{Rate: 10e9}
		p.Charge(time.Now(), 20<<20)
		var sent atomic.Int64
		for range 200 {
			go func() {
				if p.Wait(t.Context(), time.Now(), Transfer{}, p.Chunk()) == nil {
					sent.Add(1)
				}
			}()
			time.Sleep(500 * time.Microsecond)
		}
		synctest.Wait()
		is.True(sent.Load() >= 190)
	})
}

// TestAdmitByRank guards against an urgent call that is refused because of less urgent
// responses, which its own would overtake.
func TestAdmitByRank(t *testing.T) {
	is := is.New(t)
	urgent := Kind{Service: "exports", Rank: 1, Objective: 800 * time.Millisecond}
	export := Kind{Service: "exports", Rank: 4, Objective: 800 * time.Millisecond}
	p := &Pacer{Rate: 1e6}
	p.Record(urgent, 90_000)
	p.Record(export, 90_000)
	sentExport, _ := p.Admit(export)
	is.True(sentExport != nil)
	sentUrgent, _ := p.Admit(urgent)
	is.True(sentUrgent != nil)
	sentExport()
	refused, wait := p.Admit(export)
	is.True(refused == nil && wait > 0)
	refused, wait = p.Admit(urgent)
	is.True(refused == nil && wait > 0)
	sentUrgent()
	sentExport, _ = p.Admit(export)
	is.True(sentExport != nil)
}
