package distributor

import (
	"context"
	"time"

	"sycamorerun"
)

const (
	// gossipPeers is the number of peers that are notified of a new version.
	gossipPeers = 4
	// gossipPeriod is the interval between anti-entropy requests.
	gossipPeriod = time.Second
	// maxGossipSends bounds the concurrent sends to random peers.
	maxGossipSends = 16
)

// gossipVersion announces a new version to random live peers.
func (d *Distributor) gossipVersion(version sycamorerun.Version, source string) {
	d.mutex.Lock()
	ctx := d.runContext
	d.mutex.Unlock()
	if ctx == nil {
		return
	}
	message := encodeFrame(newHave(version, true))
	for _, peer := range samplePeers(d.Peers(), gossipPeers, source, d.Random) {
		select {
		case d.gossipSlots <- struct{}{}:
			go func() {
				defer func() { <-d.gossipSlots }()
				d.sendGossip(ctx, peer, message)
			}()
		default:
			d.count("distributor_casts_dropped", 1)
		}
	}
}

func (d *Distributor) sendGossip(ctx context.Context, peer string, message []byte) {
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

// runAntiEntropy pulls from a random live peer in each period.
func (d *Distributor) runAntiEntropy(ctx context.Context) {
	for sleep(ctx, gossipPeriod) {
		d.pullFromRandomPeers(ctx, 1)
	}
}

// pullFromRandomPeers starts pulls from n random live peers.
func (d *Distributor) pullFromRandomPeers(ctx context.Context, n int) {
	for _, peer := range samplePeers(d.Peers(), n, "", d.Random) {
		d.mutex.Lock()
		inFlight := !d.pulls.peer(peer).pullStarted.IsZero()
		if !inFlight {
			d.pulls.startPull(time.Now(), peer)
		}
		d.mutex.Unlock()
		if !inFlight {
			go d.pullFrom(ctx, peer)
		}
	}
}

// samplePeers returns up to n distinct random names other than excluded.
func samplePeers(names []string, n int, excluded string, random func() float64) []string {
	candidates := make([]string, 0, len(names))
	for _, name := range names {
		if name != excluded {
			candidates = append(candidates, name)
		}
	}
	n = min(n, len(candidates))
	for i := range n {
		j := i + int(random()*float64(len(candidates)-i))
		candidates[i], candidates[j] = candidates[j], candidates[i]
	}
	return candidates[:n]
}
