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
	// MaxTextBytes is the maximum size of a settings file. Decoded YAML takes
	// many times the size of its text, and a node has a memory budget of 64 MB.
	MaxTextBytes = 1 << 20
	// MaxItemBytes is the maximum size of an item's JSON.
	MaxItemBytes = 64 << 10
	// MaxTeams, MaxServices and MaxRoutes are the maximum numbers of items of
	// each kind in the tree.
	MaxTeams    = 512
	MaxServices = 1024
	MaxRoutes   = 4096
	// MaxAccounts is the maximum number of client accounts in the tree, and
	// MaxKeys that of the keys of one account.
	MaxAccounts = 100_000
	MaxKeys     = 512
	// MaxRank is the lowest priority of a call in a queue.
	MaxRank = 16
	// MaxRate is the largest rate of an account in requests a second, and the
	// largest burst in requests. It is beyond what a fleet can serve.
	MaxRate = 1e9
	// MaxHeaderBytes is the largest header size that the limits can set. Nodes
	// send a header to each other in a single frame.
	MaxHeaderBytes = 1 << 20
	// MaxBodyBytes is the largest body size that the limits can set.
	MaxBodyBytes = 1 << 40
	// MaxWait is the largest time for a request's header that the limits can set,
	// MaxIdle the largest time for which a connection may have no request.
	MaxWait = time.Hour
	MaxIdle = 24 * time.Hour
	// MaxAliases is the maximum number of anchors and aliases in a settings file.
	MaxAliases = 64
	// MaxFaults is the maximum number of faults in one report.
	MaxFaults = 100
)

// Field describes a field of a settings file: its type, default and bounds.
type Field struct {
	// Object is the kind of the object that contains the field.
	Object string
	Name   string
	// Type is integer, duration, fraction, number, boolean, text, list or map.
	Type string
	// Unit names what an integer or the length of a list or map counts.
	Unit string
	// Default is the default value as text; a required field has none.
	Default  string
	Required bool
	// Low and High are the inclusive bounds of a number, a duration in
	// nanoseconds or a length.
	Low, High float64
	// Values are the allowed values of an enumerated text.
	Values []string
	// Format is the format of a text, or of each element of a list or map.
	Format Format

	// pointer returns a pointer to the field of object.
	pointer func(object any) any
}

// Format is a text format, checked by a regular expression.
type Format struct {
	// Rule is the human-readable description of the format.
	Rule string
	// Code is the fault code of a text that does not match.
	Code string
	// secret means that faults must not quote the text.
	secret  bool
	pattern *regexp.Regexp
}

// Text formats.
var (
	nameFormat   = newFormat(CodeBadName, "1 to 63 characters of a-z0-9-", `^[a-z0-9-]{1,63}$`)
	hostFormat   = newFormat(CodeBadValue, "a host name in lower case without a port", `^[a-z0-9]([a-z0-9-]{0,62})(\.[a-z0-9][a-z0-9-]{0,62})*$`)
	prefixFormat = newFormat(CodeBadValue, "/ and visible ASCII characters without ?, # and %", `^/[!-~]*$`)
	methodFormat = newFormat(CodeBadValue, "1 to 16 upper-case letters", `^[A-Z]{1,16}$`)
	headerFormat = newFormat(CodeBadName, "1 to 63 characters of a-z0-9-, value of 1 to 256 visible ASCII characters and inner spaces", `^[a-z0-9-]{1,63}$`)
	valueFormat  = newFormat(CodeBadValue, "1 to 256 visible ASCII characters and inner spaces", `^[!-~]([ -~]{0,254}[!-~])?$`)
	labelFormat  = newFormat(CodeBadValue, "empty, or 1 to 256 visible characters and inner spaces", `^([^\pC\pZ]([^\pC\pZ]| ){0,254}[^\pC\pZ]|[^\pC\pZ])?$`)
	hashFormat   = newSecretFormat(CodeBadValue, "sha256: and 64 lower-case hexadecimal digits", `^sha256:[0-9a-f]{64}$`)
)

// Maximum lengths of texts whose pattern does not limit the length.
const (
	// MaxHostBytes is the maximum length of a name in the DNS.
	MaxHostBytes   = 253
	maxPrefixBytes = 1024
)

func newFormat(code, rule, pattern string) Format {
	return Format{Rule: rule, Code: code, pattern: regexp.MustCompile(pattern)}
}

// newSecretFormat returns the format of a text that may be a secret by mistake,
// such as a key in place of its hash.
func newSecretFormat(code, rule, pattern string) Format {
	format := newFormat(code, rule, pattern)
	format.secret = true
	return format
}

// Object kinds of a settings file.
const (
	objectFile     = "file"
	objectTeam     = "team"
	objectOperator = "operator"
	objectService  = "service"
	objectRoute    = "route"
	objectTarget   = "target"
	objectLimits   = "limits"
	objectAccount  = "account"
)

// accessor adapts a function on *T to objects of type any.
func accessor[T any](access func(*T) any) func(any) any {
	return func(object any) any { return access(object.(*T)) }
}

// objectFields lists the fields of every object within items.
var objectFields = []Field{
	{
		Object: objectTeam, Name: "mode", Type: "text", Default: sycamorerun.ModeFlow,
		Values:  []string{sycamorerun.ModeFlow, sycamorerun.ModeReview},
		pointer: accessor(func(t *sycamorerun.Team) any { return &t.Mode }),
	},
	{
		Object: objectTeam, Name: "operators", Type: "list", Unit: "operators", Low: 0, High: 64,
		pointer: accessor(func(t *sycamorerun.Team) any { return &t.Operators }),
	},
	{
		Object: objectOperator, Name: "name", Type: "text", Required: true, Format: nameFormat,
		pointer: accessor(func(o *sycamorerun.Operator) any { return &o.Name }),
	},
	{
		Object: objectOperator, Name: "hash", Type: "text", Required: true, Format: hashFormat,
		pointer: accessor(func(o *sycamorerun.Operator) any { return &o.Hash }),
	},
	{
		Object: objectService, Name: "slots", Type: "integer", Unit: "requests", Default: "6", Low: 1, High: 1024,
		pointer: accessor(func(s *sycamorerun.Service) any { return &s.Slots }),
	},
	{
		Object: objectService, Name: "queue", Type: "integer", Unit: "requests", Default: "12", Low: 0, High: 1024,
		pointer: accessor(func(s *sycamorerun.Service) any { return &s.Queue }),
	},
	{
		Object: objectService, Name: "connections", Type: "integer", Unit: "connections", Default: "130", Low: 1, High: 4096,
		pointer: accessor(func(s *sycamorerun.Service) any { return &s.Connections }),
	},
	{
		Object: objectService, Name: "timeout", Type: "duration", Default: "2s",
		Low: float64(time.Millisecond), High: float64(time.Hour),
		pointer: accessor(func(s *sycamorerun.Service) any { return &s.Timeout }),
	},
	{
		Object: objectService, Name: "idle", Type: "duration", Default: "10s",
		Low: float64(100 * time.Millisecond), High: float64(10 * time.Minute),
		pointer: accessor(func(s *sycamorerun.Service) any { return &s.Idle }),
	},
	{
		Object: objectService, Name: "warmup", Type: "duration", Default: "5s",
		Low: 0, High: float64(10 * time.Minute),
		pointer: accessor(func(s *sycamorerun.Service) any { return &s.Warmup }),
	},
	{
		Object: objectService, Name: "retries", Type: "fraction", Unit: "of calls", Default: "0.2", Low: 0, High: 1,
		pointer: accessor(func(s *sycamorerun.Service) any { return &s.Retries }),
	},
	{
		Object: objectRoute, Name: "hosts", Type: "list", Unit: "host names", Low: 0, High: 64, Format: hostFormat,
		pointer: accessor(func(r *sycamorerun.Route) any { return &r.Hosts }),
	},
	{
		Object: objectRoute, Name: "prefix", Type: "text", Default: "/", Format: prefixFormat,
		pointer: accessor(func(r *sycamorerun.Route) any { return &r.Prefix }),
	},
	{
		Object: objectRoute, Name: "methods", Type: "list", Unit: "methods", Low: 0, High: 16, Format: methodFormat,
		pointer: accessor(func(r *sycamorerun.Route) any { return &r.Methods }),
	},
	{
		Object: objectRoute, Name: "headers", Type: "map", Unit: "headers", Low: 0, High: 16, Format: headerFormat,
		pointer: accessor(func(r *sycamorerun.Route) any { return &r.Headers }),
	},
	{
		Object: objectRoute, Name: "class", Type: "text", Default: string(sycamorerun.Interactive),
		Values:  []string{string(sycamorerun.Interactive), string(sycamorerun.Bulk), string(sycamorerun.Background)},
		pointer: accessor(func(r *sycamorerun.Route) any { return (*string)(&r.Class) }),
	},
	{
		Object: objectRoute, Name: "repeat", Type: "text", Default: sycamorerun.RepeatDefault,
		Values:  []string{sycamorerun.RepeatDefault, sycamorerun.RepeatAlways, sycamorerun.RepeatNever},
		pointer: accessor(func(r *sycamorerun.Route) any { return &r.Repeat }),
	},
	{
		Object: objectRoute, Name: "split", Type: "list", Unit: "targets", Required: true, Low: 1, High: 16,
		pointer: accessor(func(r *sycamorerun.Route) any { return &r.Split }),
	},
	{
		Object: objectRoute, Name: "timeout", Type: "duration", Default: "0s",
		Low: 0, High: float64(time.Hour),
		pointer: accessor(func(r *sycamorerun.Route) any { return &r.Timeout }),
	},
	{
		Object: objectRoute, Name: "attempts", Type: "integer", Unit: "upstreams", Default: "0", Low: 0, High: 16,
		pointer: accessor(func(r *sycamorerun.Route) any { return &r.Attempts }),
	},
	{
		Object: objectRoute, Name: "objective", Type: "duration", Default: "0s",
		Low: 0, High: float64(time.Hour),
		pointer: accessor(func(r *sycamorerun.Route) any { return &r.Objective }),
	},
	{
		Object: objectRoute, Name: "rank", Type: "integer", Unit: "rank", Default: "0", Low: 0, High: MaxRank,
		pointer: accessor(func(r *sycamorerun.Route) any { return &r.Rank }),
	},
	{
		Object: objectRoute, Name: "public", Type: "boolean", Default: "false",
		Values:  []string{"false", "true"},
		pointer: accessor(func(r *sycamorerun.Route) any { return &r.Public }),
	},
	{
		Object: objectTarget, Name: "service", Type: "text", Required: true, Format: nameFormat,
		pointer: accessor(func(t *sycamorerun.Target) any { return &t.Service }),
	},
	{
		Object: objectTarget, Name: "weight", Type: "integer", Unit: "parts", Default: "100", Low: 0, High: 1000,
		pointer: accessor(func(t *sycamorerun.Target) any { return &t.Weight }),
	},
	{
		Object: objectLimits, Name: "header", Type: "integer", Unit: "bytes", Default: "0", Low: 0, High: MaxHeaderBytes,
		pointer: accessor(func(l *sycamorerun.Limits) any { return &l.Header }),
	},
	{
		Object: objectLimits, Name: "body", Type: "integer", Unit: "bytes", Default: "0", Low: 0, High: MaxBodyBytes,
		pointer: accessor(func(l *sycamorerun.Limits) any { return &l.Body }),
	},
	{
		Object: objectLimits, Name: "wait", Type: "duration", Default: "0s",
		Low: 0, High: float64(MaxWait),
		pointer: accessor(func(l *sycamorerun.Limits) any { return &l.Wait }),
	},
	{
		Object: objectLimits, Name: "idle", Type: "duration", Default: "0s",
		Low: 0, High: float64(MaxIdle),
		pointer: accessor(func(l *sycamorerun.Limits) any { return &l.Idle }),
	},
	{
		Object: objectAccount, Name: "label", Type: "text", Format: labelFormat,
		pointer: accessor(func(a *sycamorerun.Account) any { return &a.Label }),
	},
	{
		Object: objectAccount, Name: "keys", Type: "list", Unit: "hashes", Low: 0, High: MaxKeys, Format: hashFormat,
		pointer: accessor(func(a *sycamorerun.Account) any { return &a.Keys }),
	},
	{
		Object: objectAccount, Name: "rank", Type: "integer", Unit: "rank", Default: "0", Low: 0, High: MaxRank,
		pointer: accessor(func(a *sycamorerun.Account) any { return &a.Rank }),
	},
	{
		Object: objectAccount, Name: "rate", Type: "number", Unit: "requests a second", Default: "0", Low: 0, High: MaxRate,
		pointer: accessor(func(a *sycamorerun.Account) any { return &a.Rate }),
	},
	{
		Object: objectAccount, Name: "burst", Type: "number", Unit: "requests", Default: "0", Low: 0, High: MaxRate,
		pointer: accessor(func(a *sycamorerun.Account) any { return &a.Burst }),
	},
}

// fileFields lists the top-level fields of a settings file.
var fileFields = []Field{
	{Object: objectFile, Name: "team", Type: "text", Required: true, Format: nameFormat},
	{Object: objectFile, Name: "teams", Type: "map", Unit: "teams", High: MaxTeams, Format: nameFormat},
	{Object: objectFile, Name: "services", Type: "map", Unit: "services", High: MaxServices, Format: nameFormat},
	{Object: objectFile, Name: "routes", Type: "map", Unit: "routes", High: MaxRoutes, Format: nameFormat},
	{Object: objectFile, Name: "limits", Type: "map", Unit: "fields", High: 4},
	{Object: objectFile, Name: "accounts", Type: "map", Unit: "accounts", High: MaxAccounts, Format: nameFormat},
}

// fieldsByObject indexes objectFields by object and keeps their order.
var fieldsByObject = func() map[string][]Field {
	index := map[string][]Field{}
	for _, field := range objectFields {
		index[field.Object] = append(index[field.Object], field)
	}
	return index
}()

// Fields returns all fields of a settings file and its objects.
func Fields() []Field {
	return append(append([]Field{}, fileFields...), objectFields...)
}

// Bounds returns a human-readable description of the allowed values.
func (f Field) Bounds() string {
	switch {
	case len(f.Values) > 0:
		return "one of " + strings.Join(f.Values, ", ")
	case f.Name == "prefix":
		return fmt.Sprintf("%s, at most %d", f.Format.Rule, maxPrefixBytes)
	case f.Type == "text":
		return f.Format.Rule
	case f.Name == "hosts":
		return fmt.Sprintf("%s; each %s, at most %d", f.rangeText(), f.Format.Rule, MaxHostBytes)
	case f.Format.Rule != "":
		return fmt.Sprintf("%s; each %s", f.rangeText(), f.Format.Rule)
	}
	return f.rangeText()
}

// rangeText formats the numeric bounds, such as "1..1024" or "1ms..1h".
func (f Field) rangeText() string {
	return f.boundText(f.Low) + ".." + f.boundText(f.High)
}

func (f Field) boundText(value float64) string {
	if f.Type == "duration" {
		return durationText(sycamorerun.Duration(value))
	}
	return strconv.FormatFloat(value, 'f', -1, 64)
}

// setDefault sets the field of object to its default value.
func (f Field) setDefault(object any) {
	switch value := f.pointer(object).(type) {
	case *int:
		*value, _ = strconv.Atoi(f.Default)
	case *float64:
		*value, _ = strconv.ParseFloat(f.Default, 64)
	case *sycamorerun.Duration:
		parsed, _ := time.ParseDuration(f.Default)
		*value = sycamorerun.Duration(parsed)
	case *bool:
		*value = f.Default == "true"
	case *string:
		*value = f.Default
	}
}

// durationText formats d without trailing zero units: "1m", not "1m0s".
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

// Row returns the field's table row in docs/settings.md.
func (f Field) Row() string {
	defaultText := "none"
	switch {
	case f.Required:
		defaultText = "required"
	case f.Default != "":
		defaultText = "`" + f.Default + "`"
	}
	return "| " + strings.Join([]string{f.Object, "`" + f.Name + "`", f.Type, f.unit(), defaultText, f.Bounds()}, " | ") + " |"
}

func (f Field) unit() string {
	if f.Type == "duration" {
		return "ms, s, m, h"
	}
	return f.Unit
}

// ValidName reports whether name is valid for a team or an item.
func ValidName(name string) bool { return nameFormat.pattern.MatchString(name) }
