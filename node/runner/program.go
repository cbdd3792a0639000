package runner

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"sycamorerun/loader"
)

// Program is a program around a node.
type Program struct {
	Name string
	// Register adds settings of the program's own. Nil adds none.
	Register func(*loader.Loader)
	// Configure sets the fields of the Runner, and changes its settings, before
	// it runs. Nil leaves them.
	Configure func(*Runner, *Settings)
	// Exit ends the process at once; nil means os.Exit.
	Exit func(code int)
}

// Main runs a program with the process's arguments and variables, and ends the
// process.
func Main(program string, configure func(*Runner, *Settings)) {
	p := &Program{Name: program, Configure: configure}
	os.Exit(p.Run(os.Args[1:], os.LookupEnv, loader.Streams{Out: os.Stdout, Err: os.Stderr}))
}

// Run runs the program until a signal ends it, and returns the exit code.
// SIGTERM and SIGINT stop the node gracefully; SIGINT ends a node that stops
// already. SIGHUP has the settings read again.
func (p *Program) Run(args []string, lookup func(string) (string, bool), streams loader.Streams) int {
	// From here on no signal ends the process by default.
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	defer signal.Stop(signals)

	var settings Settings
	known := p.loader(&settings)
	proceed, code := known.Start(args, lookup, streams)
	if !proceed {
		return code
	}
	// A change between Start and now is found by the first check.
	stamp, _ := stampOf(known.File())
	r := New(settings, streams.Err)
	if p.Configure != nil {
		p.Configure(r, &r.settings)
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	done, end := context.WithCancel(context.Background())
	defer end()
	hangups := make(chan struct{}, 1)
	reloads := &reloader{program: p, args: args, lookup: lookup, runner: r, known: known, stamp: stamp}
	go reloads.run(done, hangups)
	go p.listen(done, signals, stop, hangups, streams)
	if err := r.Run(ctx); err != nil {
		fmt.Fprintln(streams.Err, err)
		return 1
	}
	return 0
}

// loader returns a loader of the node's settings and of the program's own.
func (p *Program) loader(settings *Settings) *loader.Loader {
	l := loader.New(p.Name)
	settings.Register(l)
	if p.Register != nil {
		p.Register(l)
	}
	return l
}

// listen acts on signals until ctx ends.
func (p *Program) listen(ctx context.Context, signals <-chan os.Signal, stop func(), hangups chan<- struct{}, streams loader.Streams) {
	stopping := false
	for {
		select {
		case <-ctx.Done():
			return
		case received := <-signals:
			switch {
			case received == syscall.SIGHUP:
				select {
				case hangups <- struct{}{}:
				default: // the settings are about to be read anyway
				}
			case !stopping:
				stopping = true
				stop()
			case received == syscall.SIGINT:
				// A supervisor may repeat SIGTERM; only a person sends SIGINT twice.
				fmt.Fprintln(streams.Err, "second signal; ending at once")
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
