package runner

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"sycamorerun/loader"
)

// Program is a command that runs a node.
type Program struct {
	Name string
	// Register adds the program's own settings. It may be nil.
	Register func(*loader.Loader)
	// Configure sets the fields of the Runner and modifies its settings before it
	// runs. It may be nil.
	Configure func(*Runner, *Settings)
	// Exit ends the process immediately. If it is nil, os.Exit is used.
	Exit func(code int)
}

// Main runs a program with the arguments and environment variables of the process,
// and exits.
func Main(program string, configure func(*Runner, *Settings)) {
	p := &Program{Name: program, Configure: configure}
	os.Exit(p.Run(os.Args[1:], os.LookupEnv, loader.Streams{Out: os.Stdout, Err: os.Stderr}))
}

// Run runs the program until a signal ends it, and returns the exit code. SIGTERM and
// SIGINT stop the node gracefully. A SIGINT while the node is stopping ends the
// process immediately. SIGHUP reloads the settings.
func (p *Program) Run(args []string, lookup func(string) (string, bool), streams loader.Streams) int {
	// From here on, these signals no longer end the process by default.
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	defer signal.Stop(signals)

	var settings Settings
	loaded := p.loader(&settings)
	proceed, code := loaded.Start(args, lookup, streams)
	if !proceed {
		return code
	}
	// A change of the file between Start and this call stays unnoticed until the file
	// changes again.
	stamp, _ := readFileStamp(loaded.File())
	r := New(settings, streams.Err)
	if p.Configure != nil {
		p.Configure(r, &r.settings)
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	reloadRequests := make(chan struct{}, 1)
	settingsReloader := &reloader{program: p, args: args, lookup: lookup, runner: r, loaded: loaded, stamp: stamp}
	go settingsReloader.run(background, reloadRequests)
	go p.handleSignals(background, signals, stop, reloadRequests, streams)
	if err := r.Run(ctx); err != nil {
		fmt.Fprintln(streams.Err, err)
		return 1
	}
	return 0
}

// loader returns a loader of the node's settings and of the program's own ones.
func (p *Program) loader(settings *Settings) *loader.Loader {
	l := loader.New(p.Name)
	settings.Register(l)
	if p.Register != nil {
		p.Register(l)
	}
	return l
}

// handleSignals handles signals until ctx ends.
func (p *Program) handleSignals(ctx context.Context, signals <-chan os.Signal, stop func(), reloadRequests chan<- struct{}, streams loader.Streams) {
	stopping := false
	for {
		select {
		case <-ctx.Done():
			return
		case received := <-signals:
			switch {
			case received == syscall.SIGHUP:
				select {
				case reloadRequests <- struct{}{}:
				default: // a reload is already pending
				}
			case !stopping:
				stopping = true
				stop()
			case received == syscall.SIGINT:
				// A supervisor may repeat SIGTERM. A repeated SIGINT comes from a person.
				fmt.Fprintln(streams.Err, "SIGINT received while stopping; exiting immediately")
				p.exit(1)
			}
		}
	}
}

func (p *Program) exit(code int) {
	if p.Exit != nil {
		p.Exit(code)
		return
	}
	os.Exit(code)
}
