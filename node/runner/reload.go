package runner

import (
	"context"
	"io"
	"os"
	"strings"
	"time"

	"github.com/go-kit/log/level"

	"sycamorerun"
	"sycamorerun/loader"
)

// checkInterval is the time between checks whether the settings file changed.
const checkInterval = time.Second

// update carries settings that were read again.
type update struct {
	settings Settings
	names    []string
}

// changes take over a setting that was read again, by its name. The slices read
// the settings in force when they need them.
var changes = map[string]func(inForce, read *Settings){
	"standby-delay":   func(inForce, read *Settings) { inForce.StandbyDelay = read.StandbyDelay },
	"max-header":      func(inForce, read *Settings) { inForce.MaxHeader = read.MaxHeader },
	"max-body":        func(inForce, read *Settings) { inForce.MaxBody = read.MaxBody },
	"header-timeout":  func(inForce, read *Settings) { inForce.HeaderTimeout = read.HeaderTimeout },
	"idle-timeout":    func(inForce, read *Settings) { inForce.IdleTimeout = read.IdleTimeout },
	"announce-period": func(inForce, read *Settings) { inForce.AnnouncePeriod = read.AnnouncePeriod },
	"log-level":       func(inForce, read *Settings) { inForce.LogLevel = read.LogLevel },
	"drain-delay":     func(inForce, read *Settings) { inForce.DrainDelay = read.DrainDelay },
	"drain-timeout":   func(inForce, read *Settings) { inForce.DrainTimeout = read.DrainTimeout },
}

// follow applies updates until ctx ends.
func (n *node) follow(updates <-chan update) func(ctx context.Context) error {
	return func(ctx context.Context) error {
		for {
			select {
			case <-ctx.Done():
				return nil
			case u := <-updates:
				n.tune(u)
			}
		}
	}
}

func (n *node) tune(u update) {
	inForce := *n.inForce.Load()
	for _, name := range u.names {
		changes[name](&inForce, &u.settings)
	}
	n.inForce.Store(&inForce)
	n.setLevel(inForce.LogLevel)
	n.setLimits()
}

// setLimits applies the limits of the configuration in force, and the node's own
// where it has none. It is called after a change of either.
func (n *node) setLimits() {
	n.limiting.Lock()
	defer n.limiting.Unlock()
	n.calls.setLimits(n.limits())
}

// limits returns the limits in force for callers.
func (n *node) limits() sycamorerun.Limits {
	return n.applier.Current().Table.Limits().Or(n.inForce.Load().limits())
}

// reloader reads the settings again on SIGHUP and when their file changes.
type reloader struct {
	program *Program
	args    []string
	lookup  func(string) (string, bool)
	runner  *Runner
	// known holds the settings that were read last, stamp the file's state then.
	known   *loader.Loader
	stamp   stamp
	missing bool
}

// stamp is what changes with a file.
type stamp struct {
	size     int64
	modified time.Time
}

func stampOf(path string) (stamp, error) {
	info, err := os.Stat(path)
	if err != nil {
		return stamp{}, err
	}
	return stamp{info.Size(), info.ModTime()}, nil
}

// run reads the settings again when it has to, until ctx ends.
func (r *reloader) run(ctx context.Context, hangups <-chan struct{}) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			level.Info(r.runner.events).Log("msg", "SIGHUP received; reading the settings again")
			r.check(true)
		case <-ticker.C:
			r.check(false)
		}
	}
}

// check reads the settings when the file has changed or always is set. The
// settings in force stay when the file is gone.
func (r *reloader) check(always bool) {
	path := r.known.File()
	if path == "" {
		return
	}
	now, err := stampOf(path)
	if err != nil {
		if !r.missing || always {
			level.Warn(r.runner.events).Log("msg", "settings file can't be read; the settings stay", "err", err)
		}
		r.missing = true
		return
	}
	if always || r.missing || now != r.stamp {
		r.missing, r.stamp = false, now
		r.read()
	}
}

// read checks all settings and applies those that changed.
func (r *reloader) read() {
	var settings Settings
	next := r.program.loader(&settings)
	loader.AddPrint(next, new(bool))
	faults, err := next.Load(r.args, r.lookup, io.Discard)
	for _, note := range next.Notes() {
		level.Warn(r.runner.events).Log("msg", "settings file", "note", note)
	}
	if err != nil {
		level.Error(r.runner.events).Log("msg", "settings not read; they stay", "err", err)
		return
	}
	for _, fault := range faults {
		level.Error(r.runner.events).Log("msg", "settings are faulty; they stay", "fault", fault)
	}
	if len(faults) > 0 {
		return
	}
	running, start := r.known.Changed(next)
	r.known = next
	if len(start) > 0 {
		level.Warn(r.runner.events).Log("msg", "changed settings take effect at the next start", "settings", strings.Join(start, ","))
	}
	if len(running) > 0 {
		level.Info(r.runner.events).Log("msg", "settings changed", "settings", strings.Join(running, ","))
		r.runner.update(update{settings, running})
	}
}
