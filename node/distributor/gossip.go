package distributor

import (
	"context"
	"time"

	"sycamorerun"
)

const (
	// gossipPeers is the number of peers told about a new version.
	gossipPeers = 4
	// gossipPeriod is the time between two anti-entropy requests.
	gossipPeriod = time.Second
	// maxCasts bounds the messages to random peers that are being sent.
	maxCasts = 16
)

// spread tells random live peers about a new version.
func (d *Distributor) spread(version sycamorerun.Version, source string) {
	d.mutex.Lock()
	ctx := d.running
	d.mutex.Unlock()
	if ctx == nil {
		return
	}
	message := frame(have(version, true))
	for _, peer := range choose(d.Peers(), gossipPeers, source, d.Random) {
		select {
		case d.casting <- struct{}{}:
			go func() {
				defer func() { <-d.casting }()
				d.cast(ctx, peer, message)
			}()
		default:
			d.count("distributor_casts_dropped", 1)
		}
	}
}

func (d *Distributor) cast(ctx context.Context, peer string, message []byte) {
	stream, err := d.open(ctx, peer, sendTimeout)
	if err != nil {
		return
	}
	defer closeWith(ctx, stream)()
	_ = stream.SetWriteDeadline(time.Now().Add(sendTimeout))
	if _, err := stream.Write(message); err == nil {
		d.count("distributor_sent_bytes", len(message))
	}
}

// ask pulls from a random live peer in each period.
func (d *Distributor) ask(ctx context.Context) {
	for sleep(ctx, gossipPeriod) {
		d.askRandom(ctx, 1)
	}
}

// askRandom pulls from n random live peers.
func (d *Distributor) askRandom(ctx context.Context, n int) {
	for _, peer := range choose(d.Peers(), n, "", d.Random) {
		d.mutex.Lock()
		busy := !d.wants.peer(peer).pulling.IsZero()
		if !busy {
			d.wants.began(time.Now(), peer)
		}
		d.mutex.Unlock()
		if !busy {
			go d.pullFrom(ctx, peer)
		}
	}
}

// choose returns n distinct random names without the excluded one.
func choose(names []string, n int, excluded string, random func() float64) []string {
	pool := make([]string, 0, len(names))
	for _, name := range names {
		if name != excluded {
			pool = append(pool, name)
		}
	}
	n = min(n, len(pool))
	for i := range n {
		j := i + int(random()*float64(len(pool)-i))
		pool[i], pool[j] = pool[j], pool[i]
	}
	return pool[:n]
}
