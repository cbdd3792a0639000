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
	// longest bounds a run, and each time within it.
	longest = 10 * time.Minute
	// mostNodes keeps a fleet below 60 processes: a node and its upstream each,
	// and the store.
	mostNodes = 29
	// mostBytes bounds the body of a request or response.
	mostBytes = 16 << 20
	// Defaults of the fleet, those of today's deployments.
	defaultNear  = time.Millisecond
	defaultFar   = 20 * time.Millisecond
	defaultSlots = 6
	defaultQueue = 12
	// defaultTimeout bounds a call whose kind states none.
	defaultTimeout = 2 * time.Second
)

// linePattern matches the place in an error of the YAML decoder.
var linePattern = regexp.MustCompile(`line ([0-9]+):`)

// settings are those of srnode that a variant can have. The others are part of
// the fleet.
var settings = []string{
	"mode", "balance", "standby-delay", "watchers", "start-wait", "drain-delay", "drain-timeout", "keys", "key-window",
	"retry-ratio", "retry-window", "retry-slack", "announce-period", "max-body", "log-level",
}

// Parse reads an experiment. It returns either the experiment or at least one
// fault, in the order of the text.
func Parse(content []byte) (Experiment, []sycamorerun.Fault) {
	r := &reader{}
	x := Experiment{Seed: 1, Fleet: Fleet{Zones: 1, Near: defaultNear, Far: defaultFar}}
	decoder := yaml.NewDecoder(bytes.NewReader(content))
	var document, second yaml.Node
	if err := decoder.Decode(&document); errors.Is(err, io.EOF) {
		r.fault(&yaml.Node{Line: 1}, CodeSyntax, "", "the file is empty")
		return Experiment{}, r.faults
	} else if err != nil {
		r.fault(&yaml.Node{Line: lineOf(err)}, CodeSyntax, "", "%s", strings.TrimPrefix(err.Error(), "yaml: "))
		return Experiment{}, r.faults
	}
	if err := decoder.Decode(&second); !errors.Is(err, io.EOF) {
		r.fault(&second, CodeSyntax, "", "one document is needed")
	}
	root := document.Content[0]
	if alias := special(root); alias != nil {
		r.fault(alias, CodeSyntax, "", "anchors and aliases are not used")
		return Experiment{}, r.faults
	}
	lines := &places{}
	r.object(root, "", x.fields(lines))
	if len(r.faults) == 0 {
		x.verify(r, root, lines)
	}
	if len(r.faults) > 0 {
		slices.SortFunc(r.faults, func(a, b sycamorerun.Fault) int {
			return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Path, b.Path), cmp.Compare(a.Code, b.Code))
		})
		return Experiment{}, r.faults
	}
	return x, nil
}

// lineOf returns the line that an error of the YAML decoder names, else 1.
func lineOf(err error) int {
	if found := linePattern.FindStringSubmatch(err.Error()); found != nil {
		if line, err := strconv.Atoi(found[1]); err == nil {
			return line
		}
	}
	return 1
}

// special returns the first node with an anchor or alias: they could refer to
// themselves.
func special(node *yaml.Node) *yaml.Node {
	if node.Anchor != "" || node.Kind == yaml.AliasNode {
		return node
	}
	for _, child := range node.Content {
		if found := special(child); found != nil {
			return found
		}
	}
	return nil
}

// places are the nodes of objects whose faults only the whole file shows.
type places struct{ load, events, fleet []*yaml.Node }

func (x *Experiment) fields(lines *places) map[string]field {
	return map[string]field{
		"name":     {true, name(&x.Name)},
		"about":    {false, text(&x.About)},
		"seed":     {false, integer(&x.Seed, 0, 1<<53)},
		"duration": {true, duration(&x.Duration, time.Second, longest)},
		"fleet": {true, func(r *reader, node *yaml.Node, path string) {
			lines.fleet = append(lines.fleet, node)
			r.object(node, path, x.Fleet.fields())
		}},
		"load": {true, each(func(r *reader, name string, node *yaml.Node, path string) {
			kind := Kind{Name: name, Timeout: defaultTimeout, Class: "interactive"}
			r.object(node, path, kind.fields())
			x.Load, lines.load = append(x.Load, kind), append(lines.load, node)
		})},
		"events": {false, func(r *reader, node *yaml.Node, path string) { x.events(r, node, path, lines) }},
		"variants": {false, each(func(r *reader, name string, node *yaml.Node, path string) {
			variant := Variant{Name: name}
			variant.read(r, node, path)
			x.Variants = append(x.Variants, variant)
		})},
		"bounds": {false, func(r *reader, node *yaml.Node, path string) { r.object(node, path, x.Bounds.fields()) }},
	}
}

func (f *Fleet) fields() map[string]field {
	return map[string]field{
		"regions": {true, names(&f.Regions, 1, 6)},
		"zones":   {false, integer(&f.Zones, 1, 6)},
		"nodes":   {true, integer(&f.Nodes, 1, mostNodes)},
		"near":    {false, duration(&f.Near, 0, time.Second)},
		"far":     {false, duration(&f.Far, 0, time.Second)},
		"services": {true, each(func(r *reader, name string, node *yaml.Node, path string) {
			service := Service{Name: name, Slots: defaultSlots, Queue: defaultQueue}
			r.object(node, path, map[string]field{
				"slots":  {false, integer(&service.Slots, 1, 1024)},
				"queue":  {false, integer(&service.Queue, 0, 1024)},
				"work":   {false, duration(&service.Work, 0, time.Minute)},
				"warmup": {false, duration(&service.Warmup, 0, time.Minute)},
				"cold":   {false, duration(&service.Cold, 0, time.Minute)},
			})
			f.Services = append(f.Services, service)
		})},
	}
}

func (k *Kind) fields() map[string]field {
	return map[string]field{
		"service":   {true, name(&k.Service)},
		"rate":      {true, number(&k.Rate, 0.01, 100_000)},
		"work":      {false, duration(&k.Work, 0, time.Minute)},
		"objective": {false, duration(&k.Objective, time.Millisecond, longest)},
		"deadline":  {false, duration(&k.Deadline, time.Millisecond, longest)},
		"timeout":   {false, duration(&k.Timeout, time.Millisecond, longest)},
		"retries":   {false, integer(&k.Retries, 0, 10)},
		"once":      {false, boolean(&k.Once)},
		"key":       {false, boolean(&k.Key)},
		"class":     {false, choice(&k.Class, "interactive", "bulk", "background")},
		"rank":      {false, integer(&k.Rank, 1, 16)},
		"body":      {false, integer(&k.Body, 0, mostBytes)},
		"response":  {false, integer(&k.Response, 0, mostBytes)},
		"hasty":     {false, number(&k.Hasty, 0, 1)},
		"leaving":   {false, number(&k.Leaving, 0, 1)},
	}
}

func (x *Experiment) events(r *reader, node *yaml.Node, path string, lines *places) {
	if node.Kind != yaml.SequenceNode {
		r.fault(node, CodeWrongType, path, "a list of events is needed")
		return
	}
	for i, element := range node.Content {
		event := Event{Line: element.Line}
		event.read(r, element, path+"["+itoa(i)+"]")
		x.Events, lines.events = append(x.Events, event), append(lines.events, element)
	}
}

func (e *Event) read(r *reader, node *yaml.Node, path string) {
	var kinds []Action
	for action := range actions {
		kinds = append(kinds, action)
	}
	slices.Sort(kinds)
	fields := map[string]field{
		"kind":   {true, choice(&e.Kind, kinds...)},
		"at":     {true, duration(&e.At, 0, longest)},
		"for":    {false, duration(&e.For, 100*time.Millisecond, longest)},
		"on":     {false, names(&e.On, 1, mostNodes)},
		"share":  {false, number(&e.Share, 0.01, 1)},
		"factor": {false, number(&e.Factor, 0, 100)},
		"every":  {false, duration(&e.Every, 50*time.Millisecond, longest)},
		"delay":  {false, duration(&e.Delay, time.Millisecond, time.Minute)},
	}
	before := len(r.faults)
	r.object(node, path, fields)
	if len(r.faults) > before {
		return
	}
	used := actions[e.Kind]
	given := map[string]bool{}
	r.entries(node, path, func(key, _ *yaml.Node) { given[key.Value] = true })
	needed := map[string]bool{"for": used.span, "factor": used.factor, "every": used.every, "delay": used.delay}
	allowed := map[string]bool{"share": used.share, "on": !used.none}
	for _, name := range []string{"for", "factor", "every", "delay", "share", "on"} {
		switch {
		case needed[name] && !given[name]:
			r.fault(node, CodeMissingField, join(path, name), "an event of kind %s needs the field", e.Kind)
		case given[name] && !needed[name] && !allowed[name]:
			r.fault(node, CodeUnknownField, join(path, name), "an event of kind %s has no such field", e.Kind)
		}
	}
	if used.zones && len(e.On) == 0 {
		r.fault(node, CodeMissingField, join(path, "on"), "an event of kind %s needs the field", e.Kind)
	}
}

func (v *Variant) read(r *reader, node *yaml.Node, path string) {
	r.entries(node, path, func(key, value *yaml.Node) {
		path := join(path, key.Value)
		if !slices.Contains(settings, key.Value) {
			r.fault(key, CodeUnknownField, path, "no setting of srnode that a variant can have: %v", settings)
			return
		}
		if value.Kind != yaml.ScalarNode || value.Tag == "!!null" {
			r.fault(value, CodeWrongType, path, "a value is needed")
			return
		}
		v.Settings = append(v.Settings, Setting{Name: key.Value, Value: value.Value})
	})
}

func (b *Bounds) fields() map[string]field {
	return map[string]field{
		"departure": {false, duration(&b.Departure, time.Millisecond, longest)},
		"force":     {false, duration(&b.Force, time.Millisecond, longest)},
		"answer":    {false, duration(&b.Answer, time.Millisecond, longest)},
		"release":   {false, duration(&b.Release, time.Millisecond, longest)},
	}
}
