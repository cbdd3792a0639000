// Package announcer announces an upstream to the node beside it.
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
	// retryInterval is the time between announcements while they fail. It is short,
	// since the node often starts at the same time as the upstream.
	retryInterval   = 200 * time.Millisecond
	announceTimeout = 2 * time.Second
)

// Announcement is the body of PUT /v1/announcement.
type Announcement struct {
	Service string            `json:"service"`
	Address netip.AddrPort    `json:"address"`
	State   sycamorerun.State `json:"state"`
	Slots   int               `json:"slots"`
}

// Announcer sends announcements periodically. Set the fields before Run.
type Announcer struct {
	// Node is the operators' address of the node.
	Node netip.AddrPort
	// Current returns the announcement to send.
	Current func() Announcement
	// OnConfirmed, if set, is called with each state that the node confirms.
	OnConfirmed func(state sycamorerun.State)
	Logger      log.Logger
}

// Run sends announcements until ctx ends.
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
			timer.Reset(retryInterval)
		}
	}
}

// Leave announces that the upstream has left, without retries.
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
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	url := "http://" + a.Node.String() + "/v1/announcement"
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "create announcement request")
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "send announcement")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusNoContent {
		return errors.Errorf("announcement rejected with status %d", response.StatusCode)
	}
	if a.OnConfirmed != nil {
		a.OnConfirmed(announcement.State)
	}
	return nil
}
