// Command srupstream is a stand-in upstream for tests, demos and measurements.
package main

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"sycamorerun"
	"sycamorerun/loader"
	"sycamorerun/logger"
	"sycamorerun/upstream/announcer"
	"sycamorerun/upstream/listener"
	"sycamorerun/upstream/recorder"
	"sycamorerun/upstream/server"
)

const stopLimit = 10 * time.Second

type settings struct {
	name        string
	service     string
	listen      netip.AddrPort
	control     netip.AddrPort
	node        netip.AddrPort
	callers     netip.AddrPort
	journal     string
	slots       int
	connections int
	connect     time.Duration
	probe       time.Duration
	work        time.Duration
	cold        time.Duration
	queue       int
	slowdown    int
	level       string
}

func main() {
	var s settings
	l := loader.New("srupstream")
	loader.Add(l, &s.name, "name", "upstream", loader.Name(), "name of the upstream")
	loader.Add(l, &s.service, "service", "quote-desk", loader.Name(), "service that it belongs to")
	loader.Add(l, &s.listen, "listen", "127.0.0.1:9000", loader.Address(), "address for calls")
	loader.Add(l, &s.control, "control", "127.0.0.1:9100", loader.Address(), "address for tests to steer it")
	loader.Add(l, &s.node, "node", "127.0.0.1:7070", loader.Address(), "operators' address of the node beside it")
	loader.Add(l, &s.callers, "callers", "", loader.OptionalAddress(), "address for callers of the node beside it, for the next calls of chains")
	loader.Add(l, &s.journal, "journal", "", loader.Text("a file, or nothing"), "file to which runs and uploads are appended")
	loader.Add(l, &s.slots, "slots", "6", loader.Int(1, 1024), "requests run at once")
	loader.Add(l, &s.queue, "queue", "0", loader.Int(0, 1024), "requests that wait for a slot")
	loader.Add(l, &s.connections, "connections", "130", loader.Int(1, 65535), "open connections at once")
	loader.Add(l, &s.connect, "connect", "0s", loader.Duration(0, time.Second), "time that each new connection takes")
	loader.Add(l, &s.probe, "probe", "0s", loader.Duration(0, time.Second), "time that each health probe takes")
	loader.Add(l, &s.work, "work", "0s", loader.Duration(0, time.Minute), "time that each request takes")
	loader.Add(l, &s.cold, "cold", "0s", loader.Duration(0, 10*time.Minute), "time to announce itself as cold after the start")
	loader.Add(l, &s.slowdown, "slowdown", "1", loader.Int(1, 100), "factor of the work's time at the start, which falls to 1 while cold")
	loader.Add(l, &s.level, "log-level", "info", loader.Choice("debug", "info", "warn", "error"), "least level logged")
	proceed, code := l.Start(os.Args[1:], os.LookupEnv, loader.Streams{Out: os.Stdout, Err: os.Stderr})
	if !proceed {
		os.Exit(code)
	}
	if err := run(s); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(s settings) error {
	events := logger.New(os.Stderr, s.level, "upstream", s.name)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()

	started := time.Now()
	upstream := &server.Server{
		Name: s.name, Service: s.service, Slots: s.slots, Queue: s.queue, Work: s.work, Probe: s.probe,
		Slowdown: float64(s.slowdown), Started: started, Cold: s.cold,
		Recorder: recorder.New(), Now: time.Now,
	}
	if s.journal != "" {
		journal, err := os.OpenFile(s.journal, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
		if err != nil {
			return errors.Wrap(err, "open journal")
		}
		defer journal.Close()
		upstream.Recorder.Journal = journal
	}
	if s.callers.IsValid() {
		upstream.Caller = server.NewCaller(s.callers)
	}
	upstream.Recorder.Instance = s.name
	upstream.Recorder.LogEvent(started, recorder.StepBoot, "")
	upstream.Behave(server.Behavior{State: sycamorerun.StateReady})
	connections, err := listener.New(s.listen, s.connections, s.connect)
	if err != nil {
		return err
	}
	calls := &http.Server{Handler: upstream.Handler(), ReadHeaderTimeout: 10 * time.Second, ConnContext: server.Connect}
	control := &http.Server{Addr: s.control.String(), Handler: upstream.Control(), ReadHeaderTimeout: 10 * time.Second}
	failed := make(chan error, 2)
	go func() { failed <- calls.Serve(connections) }()
	go func() { failed <- control.ListenAndServe() }()

	announcer := &announcer.Announcer{
		Node:      s.node,
		Logger:    events,
		Confirmed: upstream.Confirm,
		Current: func() announcer.Announcement {
			behavior := upstream.Behavior()
			state, slots := behavior.State, s.slots
			if behavior.Slots > 0 {
				slots = behavior.Slots
			}
			if state == sycamorerun.StateReady && time.Since(started) < s.cold {
				state = sycamorerun.StateCold
			}
			return announcer.Announcement{Service: s.service, Address: s.listen, State: state, Slots: slots}
		},
	}
	go announcer.Run(ctx)
	level.Info(events).Log("msg", "upstream started", "service", s.service, "listen", s.listen)

	select {
	case err := <-failed:
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
	}
	level.Info(events).Log("msg", "upstream stopping")
	limited, cancel := context.WithTimeout(context.Background(), stopLimit)
	defer cancel()
	if err := announcer.Leave(limited); err != nil {
		level.Warn(events).Log("msg", "leave was not announced", "err", err)
	}
	return errors.Wrap(calls.Shutdown(limited), "shut down")
}
