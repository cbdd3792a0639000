package runner

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"sycamorerun"
)

// Guards against an upstream that is published as serving before its keys are taken
// over, or as draining before they are handed over.
func TestPublisher(t *testing.T) {
	none, ready, draining := sycamorerun.StateNone, sycamorerun.StateReady, sycamorerun.StateDraining
	cases := map[string]struct {
		states []sycamorerun.State
		// unavailableAfter is the time since the last transfer at which the upstream is
		// marked as unavailable, before the last of states. Zero means that it is not.
		unavailableAfter time.Duration
		// during lists the states that are set during the first transfer.
		during []sycamorerun.State
		want   []string
	}{
		"none":                   {states: []sycamorerun.State{none}, want: []string{"none"}},
		"serves":                 {states: []sycamorerun.State{none, ready, ready}, want: []string{"none", "join", "ready", "ready"}},
		"drains":                 {states: []sycamorerun.State{ready, draining, draining}, want: []string{"join", "ready", "leave", "draining", "draining"}},
		"returns":                {states: []sycamorerun.State{ready, draining, ready}, want: []string{"join", "ready", "leave", "draining", "join", "ready"}},
		"lapses":                 {states: []sycamorerun.State{ready, ready}, unavailableAfter: unavailableThreshold, want: []string{"join", "ready", "join", "ready"}},
		"is not in view yet":     {states: []sycamorerun.State{ready, ready}, unavailableAfter: unavailableThreshold / 2, want: []string{"join", "ready", "ready"}},
		"drains while it joins":  {states: []sycamorerun.State{ready}, during: []sycamorerun.State{draining}, want: []string{"join", "leave", "draining"}},
		"repeats while it joins": {states: []sycamorerun.State{ready}, during: []sycamorerun.State{ready, ready}, want: []string{"join", "ready"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var mutex sync.Mutex
			var events []string
			record := func(event string) {
				mutex.Lock()
				defer mutex.Unlock()
				events = append(events, event)
			}
			p := &publisher{publish: func(p advertisement) { record(string(p.state)) }, leave: func() { record("leave") }}
			during := slices.Clone(c.during)
			p.join = func() {
				record("join")
				for _, state := range during {
					p.setDesired(advertisement{state: state})
				}
				during = nil
			}
			for i, state := range c.states {
				if i == len(c.states)-1 && c.unavailableAfter > 0 {
					p.markUnavailable(p.lastTransfer.Add(c.unavailableAfter))
				}
				p.setDesired(advertisement{state: state})
				p.waitPublished()
			}
			is.Equal(fmt.Sprint(events), fmt.Sprint(c.want))
		})
	}
}

// Guards against an announcement that is delayed by a transfer of keys although keys
// are disabled.
func TestKeysDisabled(t *testing.T) {
	is := is.New(t)
	n := readyNode(t) // with Settings.Keys unset
	never := func() { t.Error("keys are transferred although they are disabled") }
	n.publisher.join, n.publisher.leave = never, never
	for _, state := range []sycamorerun.State{sycamorerun.StateReady, sycamorerun.StateDraining, sycamorerun.StateCold, sycamorerun.StateNone} {
		n.publisher.setDesired(advertisement{"s", state, 1, ""})
		is.Equal(n.state(), state)
	}
	is.Equal(n.calls.forwarder.Contract.Key, "")
}
