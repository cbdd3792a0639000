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

// checkInterval is the time between two checks of the settings file for changes.
const checkInterval = time.Second

// settingsUpdate holds reloaded settings and the names of those to apply.
type settingsUpdate struct {
	settings Settings
	names    []string
}

// reloadable maps the name of each setting that can change in a running node to a
// function that copies it. The components read the active settings when they need
// them.
var reloadable = map[string]func(active, loaded *Settings){
	"standby-delay":   func(active, loaded *Settings) { active.StandbyDelay = loaded.StandbyDelay },
	"max-header":      func(active, loaded *Settings) { active.MaxHeader = loaded.MaxHeader },
	"max-body":        func(active, loaded *Settings) { active.MaxBody = loaded.MaxBody },
	"header-timeout":  func(active, loaded *Settings) { active.HeaderTimeout = loaded.HeaderTimeout },
	"idle-timeout":    func(active, loaded *Settings) { active.IdleTimeout = loaded.IdleTimeout },
	"announce-period": func(active, loaded *Settings) { active.AnnouncePeriod = loaded.AnnouncePeriod },
	"log-level":       func(active, loaded *Settings) { active.LogLevel = loaded.LogLevel },
	"drain-delay":     func(active, loaded *Settings) { active.DrainDelay = loaded.DrainDelay },
	"stop-timeout":    func(active, loaded *Settings) { active.StopTimeout = loaded.StopTimeout },
}

// applyUpdates returns a function that applies updates until its context ends.
func (n *node) applyUpdates(updates <-chan settingsUpdate) func(ctx context.Context) error {
	return func(ctx context.Context) error {
		for {
			select {
			case <-ctx.Done():
				return nil
			case u := <-updates:
				n.applyUpdate(u)
			}
		}
	}
}

func (n *node) applyUpdate(u settingsUpdate) {
	active := *n.activeSettings.Load()
	for _, name := range u.names {
		reloadable[name](&active, &u.settings)
	}
	n.activeSettings.Store(&active)
	n.setLevel(active.LogLevel)
	n.setLimits()
}

// setLimits applies the active limits for callers. It is called after each change of
// the configuration or of the settings.
func (n *node) setLimits() {
	n.limitsMutex.Lock()
	defer n.limitsMutex.Unlock()
	n.calls.setLimits(n.limits())
}

// limits returns the active limits for callers: those of the configuration and, where
// it sets none, those of the node's settings.
func (n *node) limits() sycamorerun.Limits {
	return n.applier.Current().Table.Limits().Or(n.activeSettings.Load().limits())
}

// reloader reloads the settings on SIGHUP and when the settings file changes.
type reloader struct {
	program *Program
	args    []string
	lookup  func(string) (string, bool)
	runner  *Runner
	// loaded holds the last settings that were loaded, and stamp the state of the
	// file at that time.
	loaded  *loader.Loader
	stamp   fileStamp
	missing bool
}

// fileStamp is the part of a file's metadata that indicates a change.
type fileStamp struct {
	size     int64
	modified time.Time
}

func readFileStamp(path string) (fileStamp, error) {
	info, err := os.Stat(path)
	if err != nil {
		return fileStamp{}, err
	}
	return fileStamp{info.Size(), info.ModTime()}, nil
}

// run reloads the settings on request and after changes of the file, until ctx ends.
func (r *reloader) run(ctx context.Context, reloadRequests <-chan struct{}) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-reloadRequests:
			level.Info(r.runner.logger).Log("msg", "SIGHUP received; reloading the settings")
			r.check(true)
		case <-ticker.C:
			r.check(false)
		}
	}
}

// check reloads the settings if the file has changed or force is set. If the file can't
// be read, the active settings are kept.
func (r *reloader) check(force bool) {
	path := r.loaded.File()
	if path == "" {
		return
	}
	now, err := readFileStamp(path)
	if err != nil {
		if !r.missing || force {
			level.Warn(r.runner.logger).Log("msg", "failed to read the settings file; keeping the active settings", "err", err)
		}
		r.missing = true
		return
	}
	if force || r.missing || now != r.stamp {
		r.missing, r.stamp = false, now
		r.reload()
	}
}

// reload loads and validates all settings and applies those that have changed.
func (r *reloader) reload() {
	var settings Settings
	next := r.program.loader(&settings)
	loader.AddPrint(next, new(bool))
	faults, err := next.Load(r.args, r.lookup, io.Discard)
	for _, note := range next.Notes() {
		level.Warn(r.runner.logger).Log("msg", "settings file was not fully applied", "note", note)
	}
	if err != nil {
		level.Error(r.runner.logger).Log("msg", "failed to load the settings; keeping the active settings", "err", err)
		return
	}
	for _, fault := range faults {
		level.Error(r.runner.logger).Log("msg", "settings are invalid; keeping the active settings", "fault", fault)
	}
	if len(faults) > 0 {
		return
	}
	applied, deferred := r.loaded.Changed(next)
	r.loaded = next
	if len(deferred) > 0 {
		level.Warn(r.runner.logger).Log("msg", "changed settings take effect at the next start", "settings", strings.Join(deferred, ","))
	}
	if len(applied) > 0 {
		level.Info(r.runner.logger).Log("msg", "settings changed", "settings", strings.Join(applied, ","))
		r.runner.enqueueUpdate(settingsUpdate{settings, applied})
	}
}
