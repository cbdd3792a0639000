package experimenter_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"sycamorerun/bench/experimenter"
)

const validExperiment = `name: store-down
duration: 60s
fleet:
  regions: [kigali, north]
  zones: 2
  nodes: 9
  services:
    quote-desk: {slots: 6, work: 2ms}
    survey-store: {}
load:
  status: {service: quote-desk, rate: 20, work: 8ms, objective: 50ms, rank: 1}
  booking: {service: survey-store, rate: 0.5, deadline: 1s, once: true, key: true}
events:
  - {kind: change, at: 0s, for: 50s, every: 2s}
  - {kind: load, at: 10s, for: 5s, on: [status], factor: 2}
  - {kind: stall, at: 20s, for: 10s, on: [north], share: 0.5}
  - {kind: roll, at: 40s, on: [quote-desk], share: 0.25}
variants:
  fast: {standby-delay: 0s}
  slow: {standby-delay: 2s, keys: false}
bounds: {force: 7s, departure: 2.5s, answer: 500ms}
`

// TestParse guards against a value that is stored in the wrong field, and
// against a placement with a single service per availability zone.
func TestParse(t *testing.T) {
	is := is.New(t)
	x, faults := experimenter.Parse([]byte(validExperiment))
	is.Equal(len(faults), 0)
	is.Equal(x.Duration, time.Minute)
	is.Equal(x.Fleet.RegionRTT, 20*time.Millisecond) // the default
	is.Equal(x.Bounds, experimenter.Bounds{Force: 7 * time.Second, Departure: 2500 * time.Millisecond, Answer: 500 * time.Millisecond})
	is.Equal(x.Load[0].Rank, 1)
	is.True(x.Load[1].Once && x.Load[1].IdempotencyKey)
	is.Equal(x.Events[2].String(), "stall on north, share 0.5")
	is.Equal(x.Events[2].End(), 30*time.Second)
	is.Equal(x.Variants[1].Settings[1], experimenter.Setting{Name: "keys", Value: "false"})
	is.Equal(len(x.Fleet.Placements()), 9)
	is.Equal(len(x.Fleet.Select([]string{"north"})), 4)
	is.Equal(len(x.Fleet.Select([]string{"quote-desk", "kigali-1-n1"})), 5)
	is.Equal(x.Fleet.Placements()[2], experimenter.Placement{Node: "kigali-1-n3", Zone: "kigali-1", Region: "kigali", Service: "quote-desk"})
	is.Equal(x.Capacity(x.Load[0]), 3000.0) // five upstreams with six slots, 10 ms each
	is.Equal(x.Capacity(x.Load[1]), 0.0)    // unbounded
}

// TestBadFiles guards against an invalid file that is accepted with a different
// meaning, and against a fault with a wrong line, code or path.
func TestBadFiles(t *testing.T) {
	cases := map[string]struct {
		from, to string
		// wanted are the faults as "line code path".
		wanted []string
	}{
		"not yaml":           {"duration: 60s", "duration: [", []string{"1 syntax "}},
		"empty":              {validExperiment, "# nothing\n", []string{"1 syntax "}},
		"list":               {validExperiment, "- name: a\n", []string{"1 wrong-type "}},
		"alias":              {"services:\n", "services: &s\n", []string{"7 syntax "}},
		"two documents":      {"bounds:", "---\nbounds:", []string{"21 syntax "}},
		"unknown field":      {"duration:", "length:", []string{"1 missing-field duration", "2 unknown-field length"}},
		"duplicate field":    {"duration: 60s", "duration: 60s\nduration: 50s", []string{"3 duplicate duration"}},
		"no unit":            {"duration: 60s", "duration: 60", []string{"2 missing-unit duration"}},
		"negative time":      {"duration: 60s", "duration: -60s", []string{"2 bad-value duration"}},
		"hours":              {"duration: 60s", "duration: 1h", []string{"2 bad-value duration"}},
		"too long":           {"duration: 60s", "duration: 60m", []string{"2 out-of-bounds duration"}},
		"bad name":           {"name: store-down", "name: Store down", []string{"1 bad-name name"}},
		"too many processes": {"nodes: 9", "nodes: 30", []string{"6 out-of-bounds fleet.nodes"}},
		"too few nodes":      {"nodes: 9", "nodes: 3", []string{"4 out-of-bounds fleet.nodes"}},
		"node as text":       {"nodes: 9", `nodes: "9"`, []string{"6 wrong-type fleet.nodes"}},
		"fraction of nodes":  {"nodes: 9", "nodes: 9.5", []string{"6 wrong-type fleet.nodes"}},
		"region twice":       {"[kigali, north]", "[north, north]", []string{"4 duplicate fleet.regions[1]"}},
		"regions as text":    {"[kigali, north]", "kigali", []string{"4 wrong-type fleet.regions"}},
		"service as text":    {"survey-store: {}", "survey-store: 6", []string{"9 wrong-type fleet.services.survey-store"}},
		"unknown service":    {"service: quote-desk", "service: quote-des", []string{"11 no-target load.status.service"}},
		"rate of zero":       {"rate: 0.5", "rate: 0", []string{"12 out-of-bounds load.booking.rate"}},
		"infinite rate":      {"rate: 0.5", "rate: .inf", []string{"12 wrong-type load.booking.rate"}},
		"yes for true":       {"once: true", "once: yes", []string{"12 wrong-type load.booking.once"}},
		"key without once":   {"once: true, ", "", []string{"12 bad-value load.booking.key"}},
		"name of the marker": {"  booking:", "  marker:", []string{"12 bad-name load.marker"}},
		"unknown event":      {"kind: stall", "kind: stop", []string{"16 bad-value events[2].kind"}},
		"event without time": {"kind: stall, at: 20s,", "kind: stall,", []string{"16 missing-field events[2].at"}},
		"event without end":  {"at: 20s, for: 10s", "at: 20s", []string{"16 missing-field events[2].for"}},
		"event after end":    {"at: 20s, for: 10s", "at: 55s, for: 10s", []string{"16 out-of-bounds events[2]"}},
		"no such field here": {"share: 0.25", "factor: 2", []string{"17 unknown-field events[3].factor"}},
		"load of a node":     {"on: [status]", "on: [north-1-n1]", []string{"15 no-target events[1].on[0]"}},
		"cut of a node":      {"kind: stall, at: 20s, for: 10s, on: [north], share: 0.5", "kind: cut, at: 20s, for: 10s, on: [north-1-n1]", []string{"16 no-target events[2].on[0]"}},
		"cut of everything":  {"kind: stall, at: 20s, for: 10s, on: [north], share: 0.5", "kind: cut, at: 20s, for: 10s", []string{"16 missing-field events[2].on"}},
		"too many changes":   {"every: 2s", "every: 50ms", []string{"14 too-many events[0]"}},
		"setting of the fleet": {
			"{standby-delay: 0s}", "{store: 127.0.0.1:7000}",
			[]string{"19 unknown-field variants.fast.store"},
		},
		"several faults": {"rate: 20, work: 8ms", "rate: fast, works: 8ms", []string{"11 wrong-type load.status.rate", "11 unknown-field load.status.works"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.True(strings.Contains(validExperiment, c.from)) // the replaced text exists
			_, faults := experimenter.Parse([]byte(strings.Replace(validExperiment, c.from, c.to, 1)))
			var got []string
			for _, fault := range faults {
				is.True(fault.Reason != "")
				got = append(got, fmt.Sprintf("%d %s %s", fault.Line, fault.Code, fault.Path))
			}
			is.Equal(got, c.wanted)
		})
	}
}
