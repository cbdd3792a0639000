package parser

import (
	"bytes"
	"encoding/json"
	"fmt"
	"unicode/utf8"

	"sycamorerun"
)

// Bounds of a hold, which no settings file contains.
const reasonBytes = 1024

// Decode returns an item as a pointer to its root type, and its faults: a path
// of a wrong form, JSON that is not canonical, or fields out of bounds. Neither
// argument is trusted.
func Decode(path sycamorerun.Path, item sycamorerun.Item) (any, []sycamorerun.Fault) {
	object, faults := newObject(path)
	if faults != nil {
		return nil, faults
	}
	if len(item) > MaxItemBytes {
		return nil, one(CodeTooLarge, string(path), "%d bytes are more than %d", len(item), MaxItemBytes)
	}
	if err := json.Unmarshal(item, object); err != nil {
		return nil, one(CodeMalformed, string(path), "not the JSON of its kind: %s", err)
	}
	canonical, err := json.Marshal(object)
	if err != nil || !bytes.Equal(canonical, item) {
		return nil, one(CodeMalformed, string(path), "not canonical JSON")
	}
	_, kind, _ := path.Split()
	if hold, ok := object.(*sycamorerun.Hold); ok {
		faults = checkHold(hold)
	} else {
		faults = check(kind, "", object)
	}
	for i, fault := range faults {
		faults[i].Reason = fault.Path + ": " + fault.Reason
		faults[i].Path = string(path)
	}
	return object, faults
}

// newObject returns an empty object of the kind that path names.
func newObject(path sycamorerun.Path) (any, []sycamorerun.Fault) {
	team, kind, name := path.Split()
	admin := team == sycamorerun.AdminTeam
	if path != sycamorerun.NewPath(team, kind, name) || !nameFormat.pattern.MatchString(team) ||
		(kind != sycamorerun.KindHold && kind != sycamorerun.KindLimits && !nameFormat.pattern.MatchString(name)) {
		return nil, badPath(path, "the form is <team>/<kind>/<name>, <team>/hold or admin/limits")
	}
	switch {
	case kind == sycamorerun.KindHold:
		return new(sycamorerun.Hold), nil
	case path == sycamorerun.LimitsPath:
		return new(sycamorerun.Limits), nil
	case kind == sycamorerun.KindTeam && admin:
		return new(sycamorerun.Team), nil
	case kind == sycamorerun.KindService && !admin:
		return new(sycamorerun.Service), nil
	case kind == sycamorerun.KindRoute && !admin:
		return new(sycamorerun.Route), nil
	}
	return nil, badPath(path, fmt.Sprintf("team %s has no items of kind %s", team, quote(kind)))
}

func badPath(path sycamorerun.Path, reason string) []sycamorerun.Fault {
	text := string(path)
	if len(text) > 256 || !utf8.ValidString(text) {
		text = quote(text)
	}
	return one(CodeBadPath, text, "%s", reason)
}

func checkHold(hold *sycamorerun.Hold) []sycamorerun.Fault {
	faults := nameFormat.check("operator", hold.Operator)
	if len(hold.Reason) > reasonBytes {
		faults = append(faults, one(CodeOutOfBounds, "reason", "%d bytes are more than %d", len(hold.Reason), reasonBytes)...)
	}
	if hold.Since.IsZero() {
		faults = append(faults, one(CodeMissingField, "since", "the time is required")...)
	}
	return faults
}
