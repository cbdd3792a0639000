package parser

import (
	"bytes"
	"encoding/json"
	"fmt"
	"unicode/utf8"

	"sycamorerun"
)

// maxReasonBytes is the maximum size of a hold's reason. It is not in the table
// of fields because settings files do not contain holds.
const maxReasonBytes = 1024

// Decode returns an item as a pointer to its type in package sycamorerun, and
// its faults: a malformed path, JSON that is not canonical, or fields out of
// bounds. Both arguments may come from an untrusted source.
func Decode(path sycamorerun.Path, item sycamorerun.Item) (any, []sycamorerun.Fault) {
	object, faults := newObject(path)
	if faults != nil {
		return nil, faults
	}
	if len(item) > MaxItemBytes {
		return nil, newFaults(CodeTooLarge, string(path), "%d bytes are more than %d", len(item), MaxItemBytes)
	}
	if err := json.Unmarshal(item, object); err != nil {
		return nil, newFaults(CodeMalformed, string(path), "not the JSON of its kind: %s", err)
	}
	canonical, err := json.Marshal(object)
	if err != nil || !bytes.Equal(canonical, item) {
		return nil, newFaults(CodeMalformed, string(path), "not canonical JSON")
	}
	_, kind, _ := path.Split()
	if hold, ok := object.(*sycamorerun.Hold); ok {
		faults = checkHold(hold)
	} else {
		faults = checkObject(kind, "", object)
	}
	for i, fault := range faults {
		faults[i].Reason = fault.Path + ": " + fault.Reason
		faults[i].Path = string(path)
	}
	return object, faults
}

// newObject returns a new object of the kind in path.
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
	case kind == sycamorerun.KindAccount && admin:
		return new(sycamorerun.Account), nil
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
	return newFaults(CodeBadPath, text, "%s", reason)
}

func checkHold(hold *sycamorerun.Hold) []sycamorerun.Fault {
	faults := nameFormat.check("operator", hold.Operator)
	if len(hold.Reason) > maxReasonBytes {
		faults = append(faults, newFaults(CodeOutOfBounds, "reason", "%d bytes are more than %d", len(hold.Reason), maxReasonBytes)...)
	}
	if hold.Since.IsZero() {
		faults = append(faults, newFaults(CodeMissingField, "since", "the time is required")...)
	}
	return faults
}
