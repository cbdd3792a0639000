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

// Guards against an upstream that is announced before its keys are taken over,
// or that still executes keys after it is announced as draining.
func TestPublisher(t *testing.T) {
	none, ready, draining := sycamorerun.StateNone, sycamorerun.StateReady, sycamorerun.StateDraining
	cases := map[string]struct {
		wanted []sycamorerun.State
		// lapsed says for how long the upstream is out of view before the last one.
		lapsed time.Duration
		// during are wanted while the first change is in progress.
		during []sycamorerun.State
		want   []string
	}{
		"none":                   {wanted: []sycamorerun.State{none}, want: []string{"none"}},
		"serves":                 {wanted: []sycamorerun.State{none, ready, ready}, want: []string{"none", "join", "ready", "ready"}},
		"drains":                 {wanted: []sycamorerun.State{ready, draining, draining}, want: []string{"join", "ready", "leave", "draining", "draining"}},
		"returns":                {wanted: []sycamorerun.State{ready, draining, ready}, want: []string{"join", "ready", "leave", "draining", "join", "ready"}},
		"lapses":                 {wanted: []sycamorerun.State{ready, ready}, lapsed: lapseDelay, want: []string{"join", "ready", "join", "ready"}},
		"is not in view yet":     {wanted: []sycamorerun.State{ready, ready}, lapsed: lapseDelay / 2, want: []string{"join", "ready", "ready"}},
		"drains while it joins":  {wanted: []sycamorerun.State{ready}, during: []sycamorerun.State{draining}, want: []string{"join", "leave", "draining"}},
		"repeats while it joins": {wanted: []sycamorerun.State{ready}, during: []sycamorerun.State{ready, ready}, want: []string{"join", "ready"}},
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
			p := &publisher{publish: func(p presence) { record(string(p.state)) }, leave: func() { record("leave") }}
			during := slices.Clone(c.during)
			p.join = func() {
				record("join")
				for _, state := range during {
					p.want(presence{state: state})
				}
				during = nil
			}
			for i, state := range c.wanted {
				if i == len(c.wanted)-1 && c.lapsed > 0 {
					p.lapse(p.since.Add(c.lapsed))
				}
				p.want(presence{state: state})
				p.settle()
			}
			is.Equal(fmt.Sprint(events), fmt.Sprint(c.want))
		})
	}
}

// Guards against an announcement that waits for the hand-over of keys although
// there are none.
func TestKeyless(t *testing.T) {
	is := is.New(t)
	n := readyNode(t) // its settings have --keys=false
	never := func() { t.Error("keys change hands") }
	n.publisher.join, n.publisher.leave = never, never
	for _, state := range []sycamorerun.State{sycamorerun.StateReady, sycamorerun.StateDraining, sycamorerun.StateCold, sycamorerun.StateNone} {
		n.publisher.want(presence{"s", state, 1})
		is.Equal(n.state(), state)
	}
	is.Equal(n.calls.forwarder.Contract.Key, "")
}
