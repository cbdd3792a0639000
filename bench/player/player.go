// Package player plays experiments on fleets of real processes and collects
// what callers, operators and the store see.
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
	// readyLimit bounds the time until every node reaches every service.
	readyLimit = 20 * time.Second
	// settle is the time before the load in which the start's traffic ends.
	settle = 2 * time.Second
	// release is the time after the load in which upstreams may still end work.
	release = time.Second
	// mostFindings bounds the findings that a result lists.
	mostFindings = 50
	// markerRate is the rate in requests per second of the requests that read
	// the version in force, at each node.
	markerRate = 1
)

// Player plays experiments. Set the fields before Play.
type Player struct {
	// Binaries is the directory of the programs, Directory the one for logs.
	Binaries, Directory string
	// Progress gets a line for each step.
	Progress io.Writer
}

// Play runs all variants of an experiment one after the other.
func (p *Player) Play(ctx context.Context, x experimenter.Experiment) (Result, error) {
	result := Result{
		Name: x.Name, About: x.About, Seed: x.Seed, Began: time.Now(), Units: Units,
		Duration: sycamorerun.Duration(x.Duration), Kinds: kindNames(x),
	}
	for _, variant := range x.Variants {
		played, err := p.variant(ctx, x, variant)
		if err != nil {
			return result, errors.Wrapf(err, "%s, variant %s", x.Name, variant.Name)
		}
		result.Variants = append(result.Variants, played)
	}
	return result, nil
}

func (p *Player) progress(format string, arguments ...any) {
	fmt.Fprintf(p.Progress, format+"\n", arguments...)
}

// run is a variant in progress.
type run struct {
	x     experimenter.Experiment
	fleet *deployer.Fleet
	load  *caller.Generator
	start time.Time

	mutex    sync.Mutex
	operator judge.OperatorActions
	marks    []Mark
	changes  []Change
	// accepted are the times of acceptance of the changes.
	accepted []time.Time
	failures []error
	// number is the marker of the last change.
	number int
	// faults are the store's rules in force and links the network's, by event.
	faults map[int][]rule
	links  map[int]experimenter.Event
	// down counts the events that stop the process of a node at the moment.
	down map[string]int
	// restarts are the times in which no process ran after a planned stop.
	restarts []judge.Span
}

// variant starts a fleet, plays one variant on it and judges it.
func (p *Player) variant(ctx context.Context, x experimenter.Experiment, v experimenter.Variant) (Variant, error) {
	directory := filepath.Join(p.Directory, x.Name+"-"+v.Name+"-logs")
	if err := os.RemoveAll(directory); err != nil {
		return Variant{}, errors.Wrap(err, "clear the logs")
	}
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return Variant{}, errors.Wrap(err, "make a directory")
	}
	fleet, err := deployer.New(spec(x, v, p.Binaries, directory))
	if err != nil {
		return Variant{}, err
	}
	defer fleet.Stop()
	result := Variant{Name: v.Name, Settings: v.Settings, Before: loadAverage()}
	p.progress("%s, variant %s: start of %d nodes, load average %.2f", x.Name, v.Name, x.Fleet.Nodes, result.Before)
	r := &run{x: x, fleet: fleet, faults: map[int][]rule{}, links: map[int]experimenter.Event{}, down: map[string]int{}}
	if err := r.prepare(ctx); err != nil {
		return result, err
	}
	if err := r.play(ctx, &result); err != nil {
		return result, err
	}
	if err := r.finish(ctx, &result); err != nil {
		return result, err
	}
	result.After = loadAverage()
	total := 0
	for _, count := range result.Broken {
		total += count
	}
	p.progress("%s, variant %s: %d attempts judged, %d findings, load average %.2f", x.Name, v.Name, result.Attempts, total, result.After)
	if total > 0 {
		result.Logs = directory
		return result, nil
	}
	fleet.Stop()
	return result, errors.Wrap(os.RemoveAll(directory), "remove the logs")
}

// prepare starts the fleet with the settings of the experiment in force, and
// waits until every node reaches every service.
func (r *run) prepare(ctx context.Context) error {
	if err := r.fleet.Start(ctx); err != nil {
		return err
	}
	if err := r.fleet.DeclareTeams(ctx, map[string]string{teamLoad: "flow", teamMarker: "flow"}); err != nil {
		return err
	}
	// The marker's route refers to a service of the load.
	for _, file := range []struct{ team, text string }{{teamLoad, loadSettings(r.x)}, {teamMarker, markerSettings(r.x, 1)}} {
		outcome, err := r.fleet.Apply(ctx, file.team, file.team, file.text, r.fleet.Nodes[0])
		if err != nil {
			return err
		}
		if outcome.Status != string(sycamorerun.StatusAccepted) {
			reason := ""
			for _, fault := range outcome.Faults {
				reason += fmt.Sprintf("; %s: %s", fault.Path, fault.Reason)
			}
			return errors.Errorf("settings of %s: %s%s", file.team, outcome.Status, reason)
		}
	}
	r.number = 1
	r.operator.Versions = []judge.Version{{Number: 1, Accepted: time.Now()}}
	var probes []generator.Target
	for _, node := range r.fleet.Nodes {
		for _, kind := range append(kindNames(r.x), experimenter.Marker) {
			probes = append(probes, generator.Target{
				Name: node.Name, Address: node.Callers, Method: http.MethodPost, Host: host(kind), Path: "/",
				Rate: 1, Timeout: readyLimit,
			})
		}
	}
	err := deployer.Eventually(ctx, readyLimit, func() bool {
		for _, result := range generator.Run(ctx, probes, time.Millisecond) {
			if result.Results[sycamorerun.Answered] != result.Calls() {
				return false
			}
		}
		return true
	})
	if err != nil {
		return errors.Wrap(err, "a node does not reach a service")
	}
	deployer.Pause(ctx, settle)
	return ctx.Err()
}

// play runs load, events and sampling, and waits for their end.
func (r *run) play(ctx context.Context, result *Variant) error {
	r.load = r.callers()
	sampler := newSampler(r.fleet)
	r.start = time.Now()
	events, cancel := context.WithDeadline(ctx, r.start.Add(r.x.Duration))
	defer cancel()
	var group sync.WaitGroup
	for i, event := range r.x.Events {
		group.Go(func() { r.event(ctx, events, i, event) })
	}
	var samples []Sample
	group.Go(func() { samples = sampler.run(ctx, r.start, r.x.Duration) })
	err := r.load.Run(ctx, r.x.Duration)
	group.Wait()
	result.Samples = samples
	if err == nil && len(r.failures) > 0 {
		err = r.failures[0]
	}
	return errors.Wrap(err, "play")
}

// finish collects the records and judges them.
func (r *run) finish(ctx context.Context, result *Variant) error {
	deployer.Pause(ctx, release)
	r.converged(ctx)
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
	result.Findings = judge.Judge(records, journals, r.operator, bounds(r.x.Bounds))
	result.Broken = judge.Count(result.Findings)
	result.Findings = result.Findings[:min(len(result.Findings), mostFindings)]
	kinds := kindNames(r.x)
	for i := range result.Samples {
		from := r.start.Add(time.Duration(i) * time.Second)
		result.Samples[i].Kinds = summarize(kinds, records, from, from.Add(time.Second))
	}
	result.Kinds = summarize(kinds, records, r.start, r.start.Add(r.x.Duration))
	result.Phases = phases(r.x, records, r.start)
	sortMarks(r.marks)
	result.Marks, result.Changes = r.marks, r.changes
	return nil
}

// converged waits until the last accepted versions are in force and notes when
// each node applied each version.
func (r *run) converged(ctx context.Context) {
	var names []string
	for _, node := range r.fleet.Nodes {
		names = append(names, node.Name)
	}
	limit := bounds(r.x.Bounds).Force
	for i := range r.changes {
		change := &r.changes[i]
		if change.Version == 0 {
			continue
		}
		// A version that is late shows in Missing.
		_ = deployer.Eventually(ctx, limit, func() bool { return len(r.fleet.Observer.Times(change.Version)) >= len(names) })
		change.converge(r.accepted[i], r.fleet.Observer.Times(change.Version), names, r.faulty)
	}
}

// faulty reports whether a node had a fault in a span.
func (r *run) faulty(node string, from, to time.Time) bool {
	return slices.ContainsFunc(slices.Concat(r.operator.Faults, r.restarts), func(fault judge.Span) bool {
		return fault.Node == node && !fault.Upstream && fault.From.Before(to) && fault.To.After(from)
	})
}

// since returns the seconds from the start of the load.
func (r *run) since(at time.Time) float64 { return at.Sub(r.start).Seconds() }

// fail notes an error that makes the run worthless.
func (r *run) fail(err error) {
	if err == nil {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.failures = append(r.failures, err)
}

// bounds returns the judge's bounds with those of the experiment.
func bounds(own experimenter.Bounds) judge.Bounds {
	all := judge.DefaultBounds
	for to, value := range map[*time.Duration]time.Duration{
		&all.Departure: own.Departure, &all.Force: own.Force, &all.Answer: own.Answer, &all.Release: own.Release,
	} {
		if value > 0 {
			*to = value
		}
	}
	return all
}

// loadAverage returns the machine's load average over a minute, 0 if there is
// none.
func loadAverage() float64 {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return 0
	}
	first, _, _ := strings.Cut(string(text), " ")
	value, _ := strconv.ParseFloat(first, 64)
	return value
}
