// Command srupstream runs a stand-in upstream for tests, demos and measurements.
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

const shutdownTimeout = 10 * time.Second

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
	var cfg settings
	flags := loader.New("srupstream")
	loader.Add(flags, &cfg.name, "name", "upstream", loader.Name(), "name of the upstream")
	loader.Add(flags, &cfg.service, "service", "quote-desk", loader.Name(), "service that it belongs to")
	loader.Add(flags, &cfg.listen, "listen", "127.0.0.1:9000", loader.Address(), "address for calls")
	loader.Add(flags, &cfg.control, "control", "127.0.0.1:9100", loader.Address(), "address of the control API for tests")
	loader.Add(flags, &cfg.node, "node", "127.0.0.1:7070", loader.Address(), "operators' address of the node beside it")
	loader.Add(flags, &cfg.callers, "callers", "", loader.OptionalAddress(), "address for callers of the node beside it, for the next calls of chains")
	loader.Add(flags, &cfg.journal, "journal", "", loader.Text("a file, or nothing"), "file to which runs, uploads and events are appended")
	loader.Add(flags, &cfg.slots, "slots", "6", loader.Int(1, 1024), "maximum number of requests run at once")
	loader.Add(flags, &cfg.queue, "queue", "0", loader.Int(0, 1024), "maximum number of requests that wait for a slot")
	loader.Add(flags, &cfg.connections, "connections", "130", loader.Int(1, 65535), "maximum number of open connections")
	loader.Add(flags, &cfg.connect, "connect", "0s", loader.Duration(0, time.Second), "time that each new connection takes")
	loader.Add(flags, &cfg.probe, "probe", "0s", loader.Duration(0, time.Second), "time that each health probe takes")
	loader.Add(flags, &cfg.work, "work", "0s", loader.Duration(0, time.Minute), "time that each request takes")
	loader.Add(flags, &cfg.cold, "cold", "0s", loader.Duration(0, 10*time.Minute), "time to announce itself as cold after the start")
	loader.Add(flags, &cfg.slowdown, "slowdown", "1", loader.Int(1, 100), "factor by which requests take longer at the start; it falls to 1 while cold")
	loader.Add(flags, &cfg.level, "log-level", "info", loader.Choice("debug", "info", "warn", "error"), "minimum level of logged messages")
	ok, code := flags.Start(os.Args[1:], os.LookupEnv, loader.Streams{Out: os.Stdout, Err: os.Stderr})
	if !ok {
		os.Exit(code)
	}
	if err := run(cfg); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(cfg settings) error {
	logs := logger.New(os.Stderr, cfg.level, "upstream", cfg.name)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()

	started := time.Now()
	upstream := &server.Server{
		Name: cfg.name, Service: cfg.service, Slots: cfg.slots, Queue: cfg.queue, Work: cfg.work, Probe: cfg.probe,
		Slowdown: float64(cfg.slowdown), Started: started, Cold: cfg.cold,
		Recorder: recorder.New(), Now: time.Now,
	}
	if cfg.journal != "" {
		journal, err := os.OpenFile(cfg.journal, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
		if err != nil {
			return errors.Wrap(err, "open journal")
		}
		defer journal.Close()
		upstream.Recorder.Journal = journal
	}
	if cfg.callers.IsValid() {
		upstream.Caller = server.NewCaller(cfg.callers)
	}
	upstream.Recorder.Instance = cfg.name
	upstream.Recorder.LogEvent(started, recorder.StepBoot, "")
	upstream.SetBehavior(server.Behavior{State: sycamorerun.StateReady})
	callListener, err := listener.New(cfg.listen, cfg.connections, cfg.connect)
	if err != nil {
		return err
	}
	callServer := &http.Server{Handler: upstream.Handler(), ReadHeaderTimeout: 10 * time.Second, ConnContext: server.ConnContext}
	controlServer := &http.Server{Addr: cfg.control.String(), Handler: upstream.Control(), ReadHeaderTimeout: 10 * time.Second}
	serveErrors := make(chan error, 2)
	go func() { serveErrors <- callServer.Serve(callListener) }()
	go func() { serveErrors <- controlServer.ListenAndServe() }()

	announcer := &announcer.Announcer{
		Node:        cfg.node,
		Logger:      logs,
		OnConfirmed: upstream.OnStateConfirmed,
		Current: func() announcer.Announcement {
			behavior := upstream.Behavior()
			state, slots := behavior.State, cfg.slots
			if behavior.Slots > 0 {
				slots = behavior.Slots
			}
			if state == sycamorerun.StateReady && time.Since(started) < cfg.cold {
				state = sycamorerun.StateCold
			}
			return announcer.Announcement{Service: cfg.service, Address: cfg.listen, State: state, Slots: slots}
		},
	}
	go announcer.Run(ctx)
	level.Info(logs).Log("msg", "upstream started", "service", cfg.service, "listen", cfg.listen)

	select {
	case err := <-serveErrors:
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
	}
	level.Info(logs).Log("msg", "upstream stopping")
	shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := announcer.Leave(shutdownCtx); err != nil {
		level.Warn(logs).Log("msg", "announcing the departure failed", "err", err)
	}
	return errors.Wrap(callServer.Shutdown(shutdownCtx), "shut down")
}
