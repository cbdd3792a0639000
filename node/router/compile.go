package router

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"sycamorerun"
)

// Codes of faults reported by Compile.
const (
	CodeInvalidItem      = "invalid-item"
	CodeUnknownService   = "unknown-service"
	CodeDuplicateService = "duplicate-service"
	CodeInvalidHost      = "invalid-host"
	CodeInvalidPrefix    = "invalid-prefix"
	CodeInvalidSplit     = "invalid-split"
	CodeInvalidClass     = "invalid-class"
	CodeInvalidRepeat    = "invalid-repeat"
	CodeInvalidKey       = "invalid-key"
	CodeDuplicateKey     = "duplicate-key"
)

// defaultRanks holds the rank per class of routes that set none. The gaps leave room
// for routes that rank between the classes.
var defaultRanks = map[sycamorerun.Class]int{sycamorerun.Interactive: 4, sycamorerun.Bulk: 8, sycamorerun.Background: 12}

// maxWeight bounds the weight of a target, so that the sum of the weights of a split
// does not overflow.
const maxWeight = 1 << 20

// Compile builds the routing table of tree. It returns no table if there is any fault,
// since a table without some of the routes would send their calls to other routes.
func Compile(tree sycamorerun.Tree) (*Table, []sycamorerun.Fault) {
	return Recompile(nil, tree)
}

// Recompile does the same as Compile, but reuses the decoded form of items that are
// unchanged since previous. Decoding is the largest part of the work, and a change
// touches few items.
func Recompile(previous *Table, tree sycamorerun.Tree) (*Table, []sycamorerun.Fault) {
	c := &compiler{table: &Table{
		version:  tree.Version,
		services: map[string]sycamorerun.Service{},
		hosts:    map[string]*hostRoutes{},
		decoded:  make(map[sycamorerun.Path]decodedItem, len(tree.Items)),
	}}
	if previous != nil {
		c.previous, c.table.keys = previous.decoded, previous.keys
	}
	paths := slices.Sorted(maps.Keys(tree.Items))
	for _, path := range paths {
		if _, kind, name := path.Split(); kind == sycamorerun.KindService {
			c.service(path, name, tree.Items[path])
		}
	}
	for _, path := range paths {
		if _, kind, _ := path.Split(); kind == sycamorerun.KindRoute {
			c.route(path, tree.Items[path])
		}
	}
	c.accounts(paths, tree.Items)
	c.limits(tree.Items)
	if len(c.faults) > 0 {
		return nil, c.faults
	}
	for _, group := range c.table.hosts {
		for _, routes := range group.prefixes {
			slices.SortStableFunc(routes, compareSpecificity)
		}
	}
	return c.table, nil
}

// compiler holds the state of one compilation.
type compiler struct {
	table    *Table
	previous map[sycamorerun.Path]decodedItem
	faults   []sycamorerun.Fault
}

// decodedItem is an item with its decoded value.
type decodedItem struct {
	item  sycamorerun.Item
	value any
}

func (c *compiler) fault(path sycamorerun.Path, code, format string, args ...any) {
	c.faults = append(c.faults, sycamorerun.Fault{
		Code: code, Path: string(path), Reason: fmt.Sprintf(format, args...),
	})
}

// decode decodes an item or reuses its decoded value. It rejects unknown fields, since
// a node that is older than the item would otherwise ignore a condition and match too
// many calls.
func decode[T any](c *compiler, path sycamorerun.Path, item sycamorerun.Item) (T, error) {
	if old, ok := c.previous[path]; ok && bytes.Equal(old.item, item) {
		if value, ok := old.value.(T); ok {
			c.table.decoded[path] = old
			return value, nil
		}
	}
	var value T
	decoder := json.NewDecoder(bytes.NewReader(item))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(&value)
	if err == nil {
		c.table.decoded[path] = decodedItem{item, value}
	}
	return value, err
}

func (c *compiler) limits(items map[sycamorerun.Path]sycamorerun.Item) {
	item, ok := items[sycamorerun.LimitsPath]
	if !ok {
		return
	}
	limits, err := decode[sycamorerun.Limits](c, sycamorerun.LimitsPath, item)
	if err != nil {
		c.fault(sycamorerun.LimitsPath, CodeInvalidItem, "limits cannot be decoded: %v", err)
	}
	c.table.limits = limits
}

func (c *compiler) service(path sycamorerun.Path, name string, item sycamorerun.Item) {
	service, err := decode[sycamorerun.Service](c, path, item)
	if err != nil {
		c.fault(path, CodeInvalidItem, "service cannot be decoded: %v", err)
		return
	}
	if _, ok := c.table.services[name]; ok {
		c.fault(path, CodeDuplicateService, "another team has a service named %s", name)
		return
	}
	c.table.services[name] = service
}

func (c *compiler) route(path sycamorerun.Path, item sycamorerun.Item) {
	source, err := decode[sycamorerun.Route](c, path, item)
	if err != nil {
		c.fault(path, CodeInvalidItem, "route cannot be decoded: %v", err)
		return
	}
	before := len(c.faults)
	compiled := &route{
		path:    path,
		prefix:  c.prefix(path, source.Prefix),
		methods: source.Methods,
		class:   c.class(path, source.Class),
		repeat:  c.repeat(path, source.Repeat),

		timeout: time.Duration(source.Timeout), objective: time.Duration(source.Objective), attempts: source.Attempts,
		rank: source.Rank, public: source.Public,
	}
	if compiled.rank == 0 {
		compiled.rank = defaultRanks[compiled.class]
	}
	for _, name := range slices.Sorted(maps.Keys(source.Headers)) {
		compiled.headers = append(compiled.headers, header{http.CanonicalHeaderKey(name), source.Headers[name]})
	}
	c.split(path, compiled, source.Split)
	hosts := c.hosts(path, source.Hosts)
	if len(c.faults) > before {
		return
	}
	c.table.routes = append(c.table.routes, compiled)
	for _, host := range hosts {
		c.table.add(host, compiled)
	}
}

func (c *compiler) prefix(path sycamorerun.Path, prefix string) string {
	if !strings.HasPrefix(prefix, "/") {
		c.fault(path, CodeInvalidPrefix, "prefix %q does not begin with /", prefix)
		return ""
	}
	cleaned := cleanPath(prefix)
	if cleaned != prefix && prefix != "/" {
		c.fault(path, CodeInvalidPrefix, "prefix %q has an empty or a dot segment", prefix)
	}
	return cleaned
}

// hosts returns the distinct index keys of a route's hosts. A route without hosts is
// indexed under anyHost.
func (c *compiler) hosts(path sycamorerun.Path, hosts []string) []string {
	if len(hosts) == 0 {
		return []string{anyHost}
	}
	var keys []string
	for _, host := range hosts {
		key := strings.ToLower(host)
		if name := strings.TrimPrefix(key, "*."); name == "" || strings.ContainsAny(name, "*:/ ") {
			c.fault(path, CodeInvalidHost, "host %q is neither a name nor *.suffix", host)
			continue
		}
		if !slices.Contains(keys, key) {
			keys = append(keys, key)
		}
	}
	return keys
}

func (c *compiler) class(path sycamorerun.Path, class sycamorerun.Class) sycamorerun.Class {
	switch class {
	case "":
		return sycamorerun.Interactive
	case sycamorerun.Interactive, sycamorerun.Bulk, sycamorerun.Background:
	default:
		c.fault(path, CodeInvalidClass, "class %q is unknown", class)
	}
	return class
}

func (c *compiler) repeat(path sycamorerun.Path, repeat string) string {
	switch repeat {
	case "":
		return sycamorerun.RepeatDefault
	case sycamorerun.RepeatDefault, sycamorerun.RepeatAlways, sycamorerun.RepeatNever:
	default:
		c.fault(path, CodeInvalidRepeat, "repeat %q is unknown", repeat)
	}
	return repeat
}

// split adds the targets with a positive weight to compiled.
func (c *compiler) split(path sycamorerun.Path, compiled *route, targets []sycamorerun.Target) {
	before := len(c.faults)
	for _, target := range targets {
		service, ok := c.table.services[target.Service]
		switch {
		case !ok:
			c.fault(path, CodeUnknownService, "service %s is not in the tree", target.Service)
		case target.Weight < 0 || target.Weight > maxWeight:
			c.fault(path, CodeInvalidSplit, "weight %d of %s is out of range", target.Weight, target.Service)
		case target.Weight > 0:
			compiled.totalWeight += uint64(target.Weight)
			compiled.split = append(compiled.split, splitTarget{target.Service, service, compiled.totalWeight})
		}
	}
	if compiled.totalWeight == 0 && len(c.faults) == before {
		c.fault(path, CodeInvalidSplit, "the split has no service with a positive weight")
	}
}

// compareSpecificity orders routes of equal host and prefix: routes with more headers
// come first, then routes with methods. Ties are broken by path, so that every node
// picks the same route.
func compareSpecificity(a, b *route) int {
	if d := len(b.headers) - len(a.headers); d != 0 {
		return d
	}
	if (len(a.methods) > 0) != (len(b.methods) > 0) {
		if len(a.methods) > 0 {
			return -1
		}
		return 1
	}
	return strings.Compare(string(a.path), string(b.path))
}
