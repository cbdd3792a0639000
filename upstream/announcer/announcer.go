// Package announcer tells the node beside an upstream what the upstream is.
package announcer

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"sycamorerun"
)

// Interval is the time between announcements.
const Interval = time.Second

const (
	// retry is the time to the next try while the node does not answer; the
	// node often starts at the same time as the upstream.
	retry   = 200 * time.Millisecond
	timeout = 2 * time.Second
)

// Announcement is the body of PUT /v1/announcement.
type Announcement struct {
	Service string            `json:"service"`
	Address netip.AddrPort    `json:"address"`
	State   sycamorerun.State `json:"state"`
	Slots   int               `json:"slots"`
}

// Announcer repeats the announcement. Set the fields before Run.
type Announcer struct {
	// Node is the node's operators' address.
	Node    netip.AddrPort
	Current func() Announcement
	// Confirmed, if set, is called with each state that the node confirmed.
	Confirmed func(state sycamorerun.State)
	Logger    log.Logger
}

// Run announces until ctx ends.
func (a *Announcer) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	failing := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		err := a.announce(ctx, a.Current())
		if err != nil && !failing && ctx.Err() == nil {
			level.Warn(a.Logger).Log("msg", "announcement failed; retrying", "node", a.Node, "err", err)
		}
		if err == nil && failing {
			level.Info(a.Logger).Log("msg", "announcement accepted again", "node", a.Node)
		}
		failing = err != nil
		timer.Reset(Interval)
		if failing {
			timer.Reset(retry)
		}
	}
}

// Leave announces once that the upstream is gone.
func (a *Announcer) Leave(ctx context.Context) error {
	announcement := a.Current()
	announcement.State = sycamorerun.StateLeft
	return a.announce(ctx, announcement)
}

func (a *Announcer) announce(ctx context.Context, announcement Announcement) error {
	body, err := json.Marshal(announcement)
	if err != nil {
		return errors.Wrap(err, "encode announcement")
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	url := "http://" + a.Node.String() + "/v1/announcement"
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "announce")
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "announce")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusNoContent {
		return errors.Errorf("announce: status %d", response.StatusCode)
	}
	if a.Confirmed != nil {
		a.Confirmed(announcement.State)
	}
	return nil
}
