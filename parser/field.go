package parser

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"time"

	"sycamorerun"
)

// Limits of a settings file and of the tree.
const (
	// MaxTextBytes bounds a settings file. The YAML nodes of a text take many
	// times its size in memory, and a node has a budget of 64 MB.
	MaxTextBytes = 1 << 20
	// MaxItemBytes bounds one item as JSON.
	MaxItemBytes = 64 << 10
	// MaxTeams, Services and Routes bound the items of each kind in the tree.
	MaxTeams    = 512
	MaxServices = 1024
	MaxRoutes   = 4096
	// MaxHeaderBytes bounds what the limits can set for a header. A header travels
	// between nodes in one frame.
	MaxHeaderBytes = 1 << 20
	// MaxBodyBytes bounds what the limits can set for a body.
	MaxBodyBytes = 1 << 40
	// MaxWait and Idle bound what the limits can set for the time of a header and
	// of a connection without a request.
	MaxWait = time.Hour
	MaxIdle = 24 * time.Hour
	// MaxAliases bounds the anchors and aliases of a settings file.
	MaxAliases = 64
	// MaxFaults bounds how many faults are reported at once.
	MaxFaults = 100
)

// Field is a row of the table of fields: its default and bounds.
type Field struct {
	// Object is the kind of object that has the field.
	Object string
	Name   string
	// Type is integer, duration, fraction, text, list or map.
	Type string
	// Unit is what an integer or the length of a list counts.
	Unit string
	// Default is the text of the default; a required field has none.
	Default  string
	Required bool
	// Low and High bound a number, a duration in nanoseconds or a length.
	Low, High float64
	// Values are the allowed texts, when there is a fixed set.
	Values []string
	// Format is the form of a text, or of each element.
	Format Format

	at func(object any) any
}

// Format is the form of a text.
type Format struct {
	// Rule describes the form for a person.
	Rule string
	// Code is the code of the fault.
	Code    string
	pattern *regexp.Regexp
}

// Forms of texts.
var (
	nameFormat   = newFormat(CodeBadName, "1 to 63 characters of a-z0-9-", `^[a-z0-9-]{1,63}$`)
	hostFormat   = newFormat(CodeBadValue, "a host name in lower case without a port", `^[a-z0-9]([a-z0-9-]{0,62})(\.[a-z0-9][a-z0-9-]{0,62})*$`)
	prefixFormat = newFormat(CodeBadValue, "/ and visible ASCII characters without ?, # and %", `^/[!-~]*$`)
	methodFormat = newFormat(CodeBadValue, "1 to 16 upper-case letters", `^[A-Z]{1,16}$`)
	headerFormat = newFormat(CodeBadName, "1 to 63 characters of a-z0-9-, value of 1 to 256 visible ASCII characters and inner spaces", `^[a-z0-9-]{1,63}$`)
	valueFormat  = newFormat(CodeBadValue, "1 to 256 visible ASCII characters and inner spaces", `^[!-~]([ -~]{0,254}[!-~])?$`)
	hashFormat   = newFormat(CodeBadValue, "sha256: and 64 lower-case hexadecimal digits", `^sha256:[0-9a-f]{64}$`)
)

// Bounds of texts whose length the pattern does not bound.
const (
	hostBytes   = 253
	prefixBytes = 1024
)

func newFormat(code, rule, pattern string) Format {
	return Format{Rule: rule, Code: code, pattern: regexp.MustCompile(pattern)}
}

// Objects of a settings file.
const (
	objectFile     = "file"
	objectTeam     = "team"
	objectOperator = "operator"
	objectService  = "service"
	objectRoute    = "route"
	objectTarget   = "target"
	objectLimits   = "limits"
)

// of turns a typed accessor into one for any object.
func of[T any](access func(*T) any) func(any) any {
	return func(object any) any { return access(object.(*T)) }
}

// table has every field of every object that becomes an item.
var table = []Field{
	{
		Object: objectTeam, Name: "mode", Type: "text", Default: sycamorerun.ModeFlow,
		Values: []string{sycamorerun.ModeFlow, sycamorerun.ModeReview},
		at:     of(func(t *sycamorerun.Team) any { return &t.Mode }),
	},
	{
		Object: objectTeam, Name: "operators", Type: "list", Unit: "operators", Low: 0, High: 64,
		at: of(func(t *sycamorerun.Team) any { return &t.Operators }),
	},
	{
		Object: objectOperator, Name: "name", Type: "text", Required: true, Format: nameFormat,
		at: of(func(o *sycamorerun.Operator) any { return &o.Name }),
	},
	{
		Object: objectOperator, Name: "hash", Type: "text", Required: true, Format: hashFormat,
		at: of(func(o *sycamorerun.Operator) any { return &o.Hash }),
	},
	{
		Object: objectService, Name: "slots", Type: "integer", Unit: "requests", Default: "6", Low: 1, High: 1024,
		at: of(func(s *sycamorerun.Service) any { return &s.Slots }),
	},
	{
		Object: objectService, Name: "queue", Type: "integer", Unit: "requests", Default: "12", Low: 0, High: 1024,
		at: of(func(s *sycamorerun.Service) any { return &s.Queue }),
	},
	{
		Object: objectService, Name: "connections", Type: "integer", Unit: "connections", Default: "130", Low: 1, High: 4096,
		at: of(func(s *sycamorerun.Service) any { return &s.Connections }),
	},
	{
		Object: objectService, Name: "timeout", Type: "duration", Default: "2s",
		Low: float64(time.Millisecond), High: float64(time.Hour),
		at: of(func(s *sycamorerun.Service) any { return &s.Timeout }),
	},
	{
		Object: objectService, Name: "idle", Type: "duration", Default: "10s",
		Low: float64(100 * time.Millisecond), High: float64(10 * time.Minute),
		at: of(func(s *sycamorerun.Service) any { return &s.Idle }),
	},
	{
		Object: objectService, Name: "warmup", Type: "duration", Default: "5s",
		Low: 0, High: float64(10 * time.Minute),
		at: of(func(s *sycamorerun.Service) any { return &s.Warmup }),
	},
	{
		Object: objectService, Name: "retries", Type: "fraction", Unit: "of calls", Default: "0.2", Low: 0, High: 1,
		at: of(func(s *sycamorerun.Service) any { return &s.Retries }),
	},
	{
		Object: objectRoute, Name: "hosts", Type: "list", Unit: "host names", Low: 0, High: 64, Format: hostFormat,
		at: of(func(r *sycamorerun.Route) any { return &r.Hosts }),
	},
	{
		Object: objectRoute, Name: "prefix", Type: "text", Default: "/", Format: prefixFormat,
		at: of(func(r *sycamorerun.Route) any { return &r.Prefix }),
	},
	{
		Object: objectRoute, Name: "methods", Type: "list", Unit: "methods", Low: 0, High: 16, Format: methodFormat,
		at: of(func(r *sycamorerun.Route) any { return &r.Methods }),
	},
	{
		Object: objectRoute, Name: "headers", Type: "map", Unit: "headers", Low: 0, High: 16, Format: headerFormat,
		at: of(func(r *sycamorerun.Route) any { return &r.Headers }),
	},
	{
		Object: objectRoute, Name: "class", Type: "text", Default: string(sycamorerun.Interactive),
		Values: []string{string(sycamorerun.Interactive), string(sycamorerun.Bulk), string(sycamorerun.Background)},
		at:     of(func(r *sycamorerun.Route) any { return (*string)(&r.Class) }),
	},
	{
		Object: objectRoute, Name: "repeat", Type: "text", Default: sycamorerun.RepeatDefault,
		Values: []string{sycamorerun.RepeatDefault, sycamorerun.RepeatAlways, sycamorerun.RepeatNever},
		at:     of(func(r *sycamorerun.Route) any { return &r.Repeat }),
	},
	{
		Object: objectRoute, Name: "split", Type: "list", Unit: "targets", Required: true, Low: 1, High: 16,
		at: of(func(r *sycamorerun.Route) any { return &r.Split }),
	},
	{
		Object: objectRoute, Name: "timeout", Type: "duration", Default: "0s",
		Low: 0, High: float64(time.Hour),
		at: of(func(r *sycamorerun.Route) any { return &r.Timeout }),
	},
	{
		Object: objectRoute, Name: "attempts", Type: "integer", Unit: "upstreams", Default: "0", Low: 0, High: 16,
		at: of(func(r *sycamorerun.Route) any { return &r.Attempts }),
	},
	{
		Object: objectRoute, Name: "objective", Type: "duration", Default: "0s",
		Low: 0, High: float64(time.Hour),
		at: of(func(r *sycamorerun.Route) any { return &r.Objective }),
	},
	{
		Object: objectRoute, Name: "rank", Type: "integer", Unit: "rank", Default: "0", Low: 0, High: 16,
		at: of(func(r *sycamorerun.Route) any { return &r.Rank }),
	},
	{
		Object: objectTarget, Name: "service", Type: "text", Required: true, Format: nameFormat,
		at: of(func(t *sycamorerun.Target) any { return &t.Service }),
	},
	{
		Object: objectTarget, Name: "weight", Type: "integer", Unit: "parts", Default: "100", Low: 0, High: 1000,
		at: of(func(t *sycamorerun.Target) any { return &t.Weight }),
	},
	{
		Object: objectLimits, Name: "header", Type: "integer", Unit: "bytes", Default: "0", Low: 0, High: MaxHeaderBytes,
		at: of(func(l *sycamorerun.Limits) any { return &l.Header }),
	},
	{
		Object: objectLimits, Name: "body", Type: "integer", Unit: "bytes", Default: "0", Low: 0, High: MaxBodyBytes,
		at: of(func(l *sycamorerun.Limits) any { return &l.Body }),
	},
	{
		Object: objectLimits, Name: "wait", Type: "duration", Default: "0s",
		Low: 0, High: float64(MaxWait),
		at: of(func(l *sycamorerun.Limits) any { return &l.Wait }),
	},
	{
		Object: objectLimits, Name: "idle", Type: "duration", Default: "0s",
		Low: 0, High: float64(MaxIdle),
		at: of(func(l *sycamorerun.Limits) any { return &l.Idle }),
	},
}

// frame has the fields of the file itself, which hold the items.
var frame = []Field{
	{Object: objectFile, Name: "team", Type: "text", Required: true, Format: nameFormat},
	{Object: objectFile, Name: "teams", Type: "map", Unit: "teams", High: MaxTeams, Format: nameFormat},
	{Object: objectFile, Name: "services", Type: "map", Unit: "services", High: MaxServices, Format: nameFormat},
	{Object: objectFile, Name: "routes", Type: "map", Unit: "routes", High: MaxRoutes, Format: nameFormat},
	{Object: objectFile, Name: "limits", Type: "map", Unit: "fields", High: 4},
}

// fieldsOf indexes table by object, in its order.
var fieldsOf = func() map[string][]Field {
	index := map[string][]Field{}
	for _, field := range table {
		index[field.Object] = append(index[field.Object], field)
	}
	return index
}()

// Fields returns every field of a settings file.
func Fields() []Field {
	return append(append([]Field{}, frame...), table...)
}

// Bounds describes what the field allows, for a person.
func (f Field) Bounds() string {
	switch {
	case len(f.Values) > 0:
		return "one of " + strings.Join(f.Values, ", ")
	case f.Name == "prefix":
		return fmt.Sprintf("%s, at most %d", f.Format.Rule, prefixBytes)
	case f.Type == "text":
		return f.Format.Rule
	case f.Name == "hosts":
		return fmt.Sprintf("%s; each %s, at most %d", f.limits(), f.Format.Rule, hostBytes)
	case f.Format.Rule != "":
		return fmt.Sprintf("%s; each %s", f.limits(), f.Format.Rule)
	}
	return f.limits()
}

// limits writes the numeric bounds, such as "1..1024" or "1ms..1h".
func (f Field) limits() string {
	return f.number(f.Low) + ".." + f.number(f.High)
}

func (f Field) number(value float64) string {
	if f.Type == "duration" {
		return durationText(sycamorerun.Duration(value))
	}
	return strconv.FormatFloat(value, 'f', -1, 64)
}

// setDefault gives the field of object its default.
func (f Field) setDefault(object any) {
	switch value := f.at(object).(type) {
	case *int:
		*value, _ = strconv.Atoi(f.Default)
	case *float64:
		*value, _ = strconv.ParseFloat(f.Default, 64)
	case *sycamorerun.Duration:
		parsed, _ := time.ParseDuration(f.Default)
		*value = sycamorerun.Duration(parsed)
	case *string:
		*value = f.Default
	}
}

// durationText writes d without trailing zero units: "1m", not "1m0s".
func durationText(d sycamorerun.Duration) string {
	text := time.Duration(d).String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}

// Row returns the field's row in docs/settings.md.
func (f Field) Row() string {
	fallback := "none"
	switch {
	case f.Required:
		fallback = "required"
	case f.Default != "":
		fallback = "`" + f.Default + "`"
	}
	return "| " + strings.Join([]string{f.Object, "`" + f.Name + "`", f.Type, f.unit(), fallback, f.Bounds()}, " | ") + " |"
}

func (f Field) unit() string {
	if f.Type == "duration" {
		return "ms, s, m, h"
	}
	return f.Unit
}

// ValidName reports whether name can be the name of a team or an item.
func ValidName(name string) bool { return nameFormat.pattern.MatchString(name) }
