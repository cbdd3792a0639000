// Package player runs experiments on fleets of real processes. It collects the
// records of callers, operators, upstreams and the store, and has them judged.
package player

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"sycamorerun"
	"sycamorerun/bench/caller"
	"sycamorerun/bench/deployer"
	"sycamorerun/bench/experimenter"
	"sycamorerun/bench/generator"
	"sycamorerun/bench/judge"
	"sycamorerun/upstream/recorder"
)

const (
	// readyTimeout is the timeout for every node to reach every service.
	readyTimeout = 20 * time.Second
	// settleTime is the delay before the load, in which start-up traffic ends.
	settleTime = 2 * time.Second
	// releaseTime is the delay after the load, in which upstreams may still
	// finish executions.
	releaseTime = time.Second
	// maxFindings is the maximum number of findings that a result lists.
	maxFindings = 50
	// markerRate is the rate, in requests per second per node, of the requests
	// that read the version in force.
	markerRate = 1
)

// Player runs experiments. Its fields must be set before Play is called.
type Player struct {
	// Binaries is the directory of the programs, Directory the directory for
	// logs.
	Binaries, Directory string
	// Progress receives a line for each step.
	Progress io.Writer
}

// Play runs all variants of an experiment sequentially.
func (p *Player) Play(ctx context.Context, experiment experimenter.Experiment) (Result, error) {
	result := Result{
		Name: experiment.Name, About: experiment.About, Seed: experiment.Seed, StartedAt: time.Now(), Units: Units,
		Duration: sycamorerun.Duration(experiment.Duration), Kinds: kindNames(experiment),
	}
	for _, variant := range experiment.Variants {
		variantResult, err := p.playVariant(ctx, experiment, variant)
		if err != nil {
			return result, errors.Wrapf(err, "%s, variant %s", experiment.Name, variant.Name)
		}
		result.Variants = append(result.Variants, variantResult)
	}
	return result, nil
}

func (p *Player) progressf(format string, arguments ...any) {
	fmt.Fprintf(p.Progress, format+"\n", arguments...)
}

// run is the state of a running variant.
type run struct {
	experiment experimenter.Experiment
	fleet      *deployer.Fleet
	load       *caller.Generator
	start      time.Time

	mutex    sync.Mutex
	operator judge.OperatorActions
	marks    []Mark
	changes  []Change
	// outcomeTimes has the time at which the outcome of each change was known, in
	// the order of changes.
	outcomeTimes []time.Time
	failures     []error
	// lastMarker is the number of the last submitted marker version.
	lastMarker int
	// storeRules are the active store rules and networkEvents the active network
	// events, by the number of the event.
	storeRules    map[int][]storeRule
	networkEvents map[int]experimenter.Event
	// stopCounts is the number of active events that stop the process, by node.
	stopCounts map[string]int
	// restarts are the periods from a planned stop until the node is ready again.
	restarts []judge.Span
}

// playVariant starts a fleet, runs one variant on it and judges the records.
func (p *Player) playVariant(ctx context.Context, experiment experimenter.Experiment, variant experimenter.Variant) (Variant, error) {
	directory := filepath.Join(p.Directory, experiment.Name+"-"+variant.Name+"-logs")
	if err := os.RemoveAll(directory); err != nil {
		return Variant{}, errors.Wrap(err, "remove old logs")
	}
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return Variant{}, errors.Wrap(err, "create the log directory")
	}
	fleet, err := deployer.New(fleetSpec(experiment, variant, p.Binaries, directory))
	if err != nil {
		return Variant{}, err
	}
	defer fleet.Stop()
	result := Variant{Name: variant.Name, Settings: variant.Settings, LoadBefore: loadAverage()}
	p.progressf("%s, variant %s: start of %d nodes, load average %.2f", experiment.Name, variant.Name, experiment.Fleet.Nodes, result.LoadBefore)
	r := &run{experiment: experiment, fleet: fleet, storeRules: map[int][]storeRule{}, networkEvents: map[int]experimenter.Event{}, stopCounts: map[string]int{}}
	if err := r.prepare(ctx); err != nil {
		return result, err
	}
	if err := r.play(ctx, &result); err != nil {
		return result, err
	}
	if err := r.finish(ctx, &result); err != nil {
		return result, err
	}
	result.LoadAfter = loadAverage()
	total := 0
	for _, count := range result.BrokenPromises {
		total += count
	}
	p.progressf("%s, variant %s: %d attempts judged, %d findings, load average %.2f", experiment.Name, variant.Name, result.Attempts, total, result.LoadAfter)
	if total > 0 {
		result.Logs = directory
		return result, nil
	}
	fleet.Stop()
	return result, errors.Wrap(os.RemoveAll(directory), "remove the logs")
}

// prepare starts the fleet, applies the settings of the experiment, and waits
// until every node reaches every service.
func (r *run) prepare(ctx context.Context) error {
	if err := r.fleet.Start(ctx); err != nil {
		return err
	}
	if err := r.fleet.DeclareTeams(ctx, map[string]string{teamLoad: "flow", teamMarker: "flow"}); err != nil {
		return err
	}
	// The load settings come first, since the marker's route refers to a service
	// that they define.
	for _, file := range []struct{ team, text string }{{teamLoad, loadSettings(r.experiment)}, {teamMarker, markerSettings(r.experiment, 1)}} {
		outcome, err := r.fleet.Apply(ctx, file.team, file.team, file.text, r.fleet.Nodes[0])
		if err != nil {
			return err
		}
		if outcome.Status != string(sycamorerun.StatusAccepted) {
			reason := ""
			for _, fault := range outcome.Faults {
				reason += fmt.Sprintf("; %s: %s", fault.Path, fault.Reason)
			}
			return errors.Errorf("settings of team %s not accepted: status %s%s", file.team, outcome.Status, reason)
		}
	}
	r.lastMarker = 1
	r.operator.Versions = []judge.Version{{Number: 1, Accepted: time.Now()}}
	var probes []generator.Target
	for _, node := range r.fleet.Nodes {
		for _, kind := range append(kindNames(r.experiment), experimenter.MarkerKind) {
			probes = append(probes, generator.Target{
				Name: node.Name, Address: node.Callers, Method: http.MethodPost, Host: hostName(kind), Path: "/",
				Rate: 1, Timeout: readyTimeout,
			})
		}
	}
	err := deployer.Eventually(ctx, readyTimeout, func() bool {
		for _, result := range generator.Run(ctx, probes, time.Millisecond) {
			if result.Results[sycamorerun.Answered] != result.Calls() {
				return false
			}
		}
		return true
	})
	if err != nil {
		return errors.Wrap(err, "wait for every node to reach every service")
	}
	deployer.Pause(ctx, settleTime)
	return ctx.Err()
}

// play runs the load, the events and the sampling, and waits until all of them
// end.
func (r *run) play(ctx context.Context, result *Variant) error {
	r.load = r.newLoadGenerator()
	sampler := newSampler(r.fleet)
	r.start = time.Now()
	runCtx, cancel := context.WithDeadline(ctx, r.start.Add(r.experiment.Duration))
	defer cancel()
	var group sync.WaitGroup
	for i, event := range r.experiment.Events {
		group.Go(func() { r.playEvent(ctx, runCtx, i, event) })
	}
	var samples []Sample
	group.Go(func() { samples = sampler.run(ctx, r.start, r.experiment.Duration) })
	err := r.load.Run(ctx, r.experiment.Duration)
	group.Wait()
	result.Samples = samples
	if err == nil && len(r.failures) > 0 {
		err = r.failures[0]
	}
	return errors.Wrap(err, "play the experiment")
}

// finish collects the records and judges them.
func (r *run) finish(ctx context.Context, result *Variant) error {
	deployer.Pause(ctx, releaseTime)
	r.recordConvergence(ctx)
	var journals [][]recorder.Event
	for _, node := range r.fleet.Nodes {
		journal, err := r.fleet.Events(node)
		if err != nil {
			return err
		}
		journals = append(journals, journal)
	}
	records := r.load.Records()
	for _, record := range records {
		result.Attempts += len(record.Attempts)
	}
	for _, stall := range r.load.Stalls() {
		r.operator.Stalls = append(r.operator.Stalls, judge.Span{From: stall.From, To: stall.To})
		result.Stalled += sycamorerun.Duration(stall.To.Sub(stall.From))
	}
	result.Findings = judge.Judge(records, journals, r.operator, judgeBounds(r.experiment.Bounds))
	result.BrokenPromises = judge.Count(result.Findings)
	result.Findings = result.Findings[:min(len(result.Findings), maxFindings)]
	kinds := kindNames(r.experiment)
	for i := range result.Samples {
		from := r.start.Add(time.Duration(i) * time.Second)
		result.Samples[i].Kinds = summarize(kinds, records, from, from.Add(time.Second))
	}
	result.Kinds = summarize(kinds, records, r.start, r.start.Add(r.experiment.Duration))
	result.Phases = phases(r.experiment, records, r.start)
	sortMarks(r.marks)
	result.Marks, result.Changes = r.marks, r.changes
	return nil
}

// recordConvergence waits until all nodes have applied each accepted version,
// and records the convergence times.
func (r *run) recordConvergence(ctx context.Context) {
	var names []string
	for _, node := range r.fleet.Nodes {
		names = append(names, node.Name)
	}
	timeout := judgeBounds(r.experiment.Bounds).Force
	for i := range r.changes {
		change := &r.changes[i]
		if change.Version == 0 {
			continue
		}
		// A timeout is reported in Change.Missing.
		_ = deployer.Eventually(ctx, timeout, func() bool { return len(r.fleet.Observer.Times(change.Version)) >= len(names) })
		change.setConvergence(r.outcomeTimes[i], r.fleet.Observer.Times(change.Version), names, r.hadFault)
	}
}

// hadFault reports whether a node had a fault or a restart in a span.
func (r *run) hadFault(node string, from, to time.Time) bool {
	return slices.ContainsFunc(slices.Concat(r.operator.Faults, r.restarts), func(fault judge.Span) bool {
		return fault.Node == node && !fault.Upstream && fault.From.Before(to) && fault.To.After(from)
	})
}

// secondsSinceStart returns the offset from the start of the load in seconds.
func (r *run) secondsSinceStart(at time.Time) float64 { return at.Sub(r.start).Seconds() }

// recordFailure records an error that invalidates the run. It ignores nil.
func (r *run) recordFailure(err error) {
	if err == nil {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.failures = append(r.failures, err)
}

// judgeBounds returns the judge's default bounds, overridden by those of the
// experiment.
func judgeBounds(overrides experimenter.Bounds) judge.Bounds {
	merged := judge.DefaultBounds
	for target, value := range map[*time.Duration]time.Duration{
		&merged.Departure: overrides.Departure, &merged.Force: overrides.Force, &merged.Answer: overrides.Answer, &merged.Release: overrides.Release,
	} {
		if value > 0 {
			*target = value
		}
	}
	return merged
}

// loadAverage returns the machine's load average over one minute, or 0 if it is
// not available.
func loadAverage() float64 {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return 0
	}
	first, _, _ := strings.Cut(string(text), " ")
	value, _ := strconv.ParseFloat(first, 64)
	return value
}
