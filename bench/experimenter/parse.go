package experimenter

import (
	"bytes"
	"cmp"
	"io"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"

	"sycamorerun"
)

const (
	// maxDuration bounds a run and each duration within it.
	maxDuration = 10 * time.Minute
	// maxNodes keeps a fleet below 60 processes: a node and an upstream for each
	// node, and the store.
	maxNodes = 29
	// maxBodyBytes bounds the body of a request or response.
	maxBodyBytes = 16 << 20
	// The defaults of the fleet match current deployments.
	defaultZoneRTT   = time.Millisecond
	defaultRegionRTT = 20 * time.Millisecond
	defaultSlots     = 6
	defaultQueue     = 12
	// defaultTimeout is the timeout of request kinds without one.
	defaultTimeout = 2 * time.Second
)

// linePattern matches the line number in an error of the YAML decoder.
var linePattern = regexp.MustCompile(`line ([0-9]+):`)

// variantSettings are the srnode settings that a variant can set. The others
// are determined by the fleet.
var variantSettings = []string{
	"mode", "balance", "standby-delay", "watchers", "start-wait", "drain-delay", "stop-timeout", "keys", "key-window",
	"retry-ratio", "retry-window", "retry-slack", "announce-period", "max-body", "log-level",
}

// Parse parses and validates an experiment. It returns either the experiment or
// at least one fault, with the faults in the order of their lines.
func Parse(content []byte) (Experiment, []sycamorerun.Fault) {
	r := &reader{}
	x := Experiment{Seed: 1, Fleet: Fleet{Zones: 1, ZoneRTT: defaultZoneRTT, RegionRTT: defaultRegionRTT}}
	decoder := yaml.NewDecoder(bytes.NewReader(content))
	var document, second yaml.Node
	if err := decoder.Decode(&document); errors.Is(err, io.EOF) {
		r.addFault(&yaml.Node{Line: 1}, CodeSyntax, "", "the file is empty")
		return Experiment{}, r.faults
	} else if err != nil {
		r.addFault(&yaml.Node{Line: lineOf(err)}, CodeSyntax, "", "%s", strings.TrimPrefix(err.Error(), "yaml: "))
		return Experiment{}, r.faults
	}
	if err := decoder.Decode(&second); !errors.Is(err, io.EOF) {
		r.addFault(&second, CodeSyntax, "", "one document is needed")
	}
	root := document.Content[0]
	if alias := findAnchor(root); alias != nil {
		r.addFault(alias, CodeSyntax, "", "anchors and aliases are not used")
		return Experiment{}, r.faults
	}
	objects := &objectNodes{}
	r.readObject(root, "", x.fields(objects))
	if len(r.faults) == 0 {
		x.validate(r, root, objects)
	}
	if len(r.faults) > 0 {
		slices.SortFunc(r.faults, func(a, b sycamorerun.Fault) int {
			return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Path, b.Path), cmp.Compare(a.Code, b.Code))
		})
		return Experiment{}, r.faults
	}
	return x, nil
}

// lineOf returns the line number in an error of the YAML decoder, or 1 if there
// is none.
func lineOf(err error) int {
	if found := linePattern.FindStringSubmatch(err.Error()); found != nil {
		if line, err := strconv.Atoi(found[1]); err == nil {
			return line
		}
	}
	return 1
}

// findAnchor returns the first node with an anchor or alias. They are rejected
// because an alias can be recursive.
func findAnchor(node *yaml.Node) *yaml.Node {
	if node.Anchor != "" || node.Kind == yaml.AliasNode {
		return node
	}
	for _, child := range node.Content {
		if found := findAnchor(child); found != nil {
			return found
		}
	}
	return nil
}

// objectNodes are the YAML nodes of the objects that are validated after the
// whole file is read.
type objectNodes struct{ load, events, fleet []*yaml.Node }

func (x *Experiment) fields(objects *objectNodes) map[string]field {
	return map[string]field{
		"name":     {true, readName(&x.Name)},
		"about":    {false, readText(&x.About)},
		"seed":     {false, readInteger(&x.Seed, 0, 1<<53)},
		"duration": {true, readDuration(&x.Duration, time.Second, maxDuration)},
		"fleet": {true, func(r *reader, node *yaml.Node, path string) {
			objects.fleet = append(objects.fleet, node)
			r.readObject(node, path, x.Fleet.fields())
		}},
		"load": {true, readObjects(func(r *reader, name string, node *yaml.Node, path string) {
			kind := Kind{Name: name, Timeout: defaultTimeout, Class: "interactive"}
			r.readObject(node, path, kind.fields())
			x.Load, objects.load = append(x.Load, kind), append(objects.load, node)
		})},
		"events": {false, func(r *reader, node *yaml.Node, path string) { x.readEvents(r, node, path, objects) }},
		"variants": {false, readObjects(func(r *reader, name string, node *yaml.Node, path string) {
			variant := Variant{Name: name}
			variant.read(r, node, path)
			x.Variants = append(x.Variants, variant)
		})},
		"bounds": {false, func(r *reader, node *yaml.Node, path string) { r.readObject(node, path, x.Bounds.fields()) }},
	}
}

func (f *Fleet) fields() map[string]field {
	return map[string]field{
		"regions": {true, readNames(&f.Regions, 1, 6)},
		"zones":   {false, readInteger(&f.Zones, 1, 6)},
		"nodes":   {true, readInteger(&f.Nodes, 1, maxNodes)},
		"near":    {false, readDuration(&f.ZoneRTT, 0, time.Second)},
		"far":     {false, readDuration(&f.RegionRTT, 0, time.Second)},
		"services": {true, readObjects(func(r *reader, name string, node *yaml.Node, path string) {
			service := Service{Name: name, Slots: defaultSlots, Queue: defaultQueue}
			r.readObject(node, path, map[string]field{
				"slots":  {false, readInteger(&service.Slots, 1, 1024)},
				"queue":  {false, readInteger(&service.Queue, 0, 1024)},
				"work":   {false, readDuration(&service.Work, 0, time.Minute)},
				"warmup": {false, readDuration(&service.Warmup, 0, time.Minute)},
				"cold":   {false, readDuration(&service.Cold, 0, time.Minute)},
			})
			f.Services = append(f.Services, service)
		})},
	}
}

func (k *Kind) fields() map[string]field {
	return map[string]field{
		"service":   {true, readName(&k.Service)},
		"rate":      {true, readNumber(&k.Rate, 0.01, 100_000)},
		"work":      {false, readDuration(&k.Work, 0, time.Minute)},
		"objective": {false, readDuration(&k.Objective, time.Millisecond, maxDuration)},
		"deadline":  {false, readDuration(&k.Deadline, time.Millisecond, maxDuration)},
		"timeout":   {false, readDuration(&k.Timeout, time.Millisecond, maxDuration)},
		"retries":   {false, readInteger(&k.Retries, 0, 10)},
		"once":      {false, readBool(&k.Once)},
		"key":       {false, readBool(&k.IdempotencyKey)},
		"class":     {false, readChoice(&k.Class, "interactive", "bulk", "background")},
		"rank":      {false, readInteger(&k.Rank, 1, 16)},
		"body":      {false, readInteger(&k.Body, 0, maxBodyBytes)},
		"response":  {false, readInteger(&k.Response, 0, maxBodyBytes)},
		"hasty":     {false, readNumber(&k.IgnoreRetryAfter, 0, 1)},
		"leaving":   {false, readNumber(&k.DisconnectEarly, 0, 1)},
	}
}

func (x *Experiment) readEvents(r *reader, node *yaml.Node, path string, objects *objectNodes) {
	if node.Kind != yaml.SequenceNode {
		r.addFault(node, CodeWrongType, path, "a list of events is needed")
		return
	}
	for i, element := range node.Content {
		event := Event{Line: element.Line}
		event.read(r, element, path+"["+itoa(i)+"]")
		x.Events, objects.events = append(x.Events, event), append(objects.events, element)
	}
}

func (e *Event) read(r *reader, node *yaml.Node, path string) {
	var kinds []EventKind
	for kind := range eventRules {
		kinds = append(kinds, kind)
	}
	slices.Sort(kinds)
	fields := map[string]field{
		"kind":   {true, readChoice(&e.Kind, kinds...)},
		"at":     {true, readDuration(&e.At, 0, maxDuration)},
		"for":    {false, readDuration(&e.For, 100*time.Millisecond, maxDuration)},
		"on":     {false, readNames(&e.On, 1, maxNodes)},
		"share":  {false, readNumber(&e.Share, 0.01, 1)},
		"factor": {false, readNumber(&e.Factor, 0, 100)},
		"every":  {false, readDuration(&e.Every, 50*time.Millisecond, maxDuration)},
		"delay":  {false, readDuration(&e.Delay, time.Millisecond, time.Minute)},
	}
	before := len(r.faults)
	r.readObject(node, path, fields)
	if len(r.faults) > before {
		return
	}
	rules := eventRules[e.Kind]
	given := map[string]bool{}
	r.visitEntries(node, path, func(key, _ *yaml.Node) { given[key.Value] = true })
	required := map[string]bool{"for": rules.duration, "factor": rules.factor, "every": rules.every, "delay": rules.delay}
	allowed := map[string]bool{"share": rules.share, "on": !rules.noSelection}
	for _, name := range []string{"for", "factor", "every", "delay", "share", "on"} {
		switch {
		case required[name] && !given[name]:
			r.addFault(node, CodeMissingField, join(path, name), "an event of kind %s needs the field", e.Kind)
		case given[name] && !required[name] && !allowed[name]:
			r.addFault(node, CodeUnknownField, join(path, name), "an event of kind %s has no such field", e.Kind)
		}
	}
	if rules.selectsZones && len(e.On) == 0 {
		r.addFault(node, CodeMissingField, join(path, "on"), "an event of kind %s needs the field", e.Kind)
	}
}

func (v *Variant) read(r *reader, node *yaml.Node, path string) {
	r.visitEntries(node, path, func(key, value *yaml.Node) {
		path := join(path, key.Value)
		if !slices.Contains(variantSettings, key.Value) {
			r.addFault(key, CodeUnknownField, path, "no setting of srnode that a variant can have: %v", variantSettings)
			return
		}
		if value.Kind != yaml.ScalarNode || value.Tag == "!!null" {
			r.addFault(value, CodeWrongType, path, "a value is needed")
			return
		}
		v.Settings = append(v.Settings, Setting{Name: key.Value, Value: value.Value})
	})
}

func (b *Bounds) fields() map[string]field {
	return map[string]field{
		"departure": {false, readDuration(&b.Departure, time.Millisecond, maxDuration)},
		"force":     {false, readDuration(&b.Force, time.Millisecond, maxDuration)},
		"answer":    {false, readDuration(&b.Answer, time.Millisecond, maxDuration)},
		"release":   {false, readDuration(&b.Release, time.Millisecond, maxDuration)},
	}
}
