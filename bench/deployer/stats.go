package deployer

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

// StoreStats is the part of the store's statistics that measurements use.
type StoreStats struct {
	Total   StoreUsage            `json:"total"`
	Callers map[string]StoreUsage `json:"callers"`
}

// StoreUsage counts the calls to the store and the bytes of their bodies.
type StoreUsage struct {
	Reads    float64 `json:"reads"`
	Writes   float64 `json:"writes"`
	Received float64 `json:"received"`
	Sent     float64 `json:"sent"`
}

// Calls returns the number of calls by all callers.
func (s StoreStats) Calls() float64 { return s.Total.Reads + s.Total.Writes }

// Bytes returns the number of bytes that a caller sent and received.
func (s StoreStats) Bytes(caller string) float64 {
	return s.Callers[caller].Sent + s.Callers[caller].Received
}

// StoreStats reads the statistics of the store.
func (f *Fleet) StoreStats(ctx context.Context) (StoreStats, error) {
	var stats StoreStats
	_, body, err := Get(ctx, f.storeAddress, "/stats")
	if err != nil {
		return stats, err
	}
	return stats, errors.Wrap(json.Unmarshal(body, &stats), "decode store statistics")
}

// Pause sleeps for d or until ctx ends.
func Pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
