package parser

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"sycamorerun"
)

// check returns the faults of the fields of object, with paths below at.
func check(kind, at string, object any) []sycamorerun.Fault {
	var faults []sycamorerun.Fault
	for _, field := range fieldsOf[kind] {
		faults = append(faults, field.check(join(at, field.Name), field.at(object))...)
	}
	return faults
}

func (f Field) check(at string, value any) []sycamorerun.Fault {
	switch value := value.(type) {
	case *int:
		return f.within(at, float64(*value), fmt.Sprint(*value))
	case *float64:
		return f.within(at, *value, fmt.Sprint(*value))
	case *sycamorerun.Duration:
		if time.Duration(*value)%time.Millisecond != 0 {
			return one(CodeOutOfBounds, at, "%s is not a whole number of milliseconds", durationText(*value))
		}
		return f.within(at, float64(*value), durationText(*value))
	case *string:
		return f.checkText(at, *value)
	case *[]string:
		return f.checkList(at, *value)
	case *map[string]string:
		return f.checkMap(at, *value)
	case *[]sycamorerun.Target:
		return f.checkTargets(at, *value)
	case *[]sycamorerun.Operator:
		return f.checkOperators(at, *value)
	}
	panic("no rule for the type of field " + f.Name)
}

// within checks a number; the comparison is false for NaN as well.
func (f Field) within(at string, value float64, text string) []sycamorerun.Fault {
	if value >= f.Low && value <= f.High {
		return nil
	}
	return one(CodeOutOfBounds, at, "%s is outside %s", text, f.limits())
}

// length checks the length of a list or map. The elements of one that is too
// long are not checked, which bounds the work.
func (f Field) length(at string, length int) []sycamorerun.Fault {
	if float64(length) >= f.Low && float64(length) <= f.High {
		return nil
	}
	return one(CodeOutOfBounds, at, "%d %s are outside %s", length, f.Unit, f.limits())
}

func (f Field) checkText(at, value string) []sycamorerun.Fault {
	if len(f.Values) > 0 {
		if slices.Contains(f.Values, value) {
			return nil
		}
		return one(CodeBadValue, at, "%s is not one of %s", quote(value), strings.Join(f.Values, ", "))
	}
	limit := len(value)
	switch f.Name {
	case "prefix":
		limit = prefixBytes
		if strings.ContainsAny(value, "?#%") {
			return one(f.Format.Code, at, "%s is not %s", quote(value), f.Format.Rule)
		}
	case "hosts":
		limit = hostBytes
	}
	if len(value) > limit {
		return one(CodeOutOfBounds, at, "%d characters are more than %d", len(value), limit)
	}
	return f.Format.check(at, value)
}

func (f Format) check(at, value string) []sycamorerun.Fault {
	if f.pattern.MatchString(value) {
		return nil
	}
	return one(f.Code, at, "%s is not %s", quote(value), f.Rule)
}

func (f Field) checkList(at string, values []string) []sycamorerun.Fault {
	faults := f.length(at, len(values))
	if len(faults) > 0 {
		return faults
	}
	seen := map[string]bool{}
	for i, value := range values {
		place := fmt.Sprintf("%s[%d]", at, i)
		faults = append(faults, f.checkText(place, value)...)
		faults = append(faults, once(seen, place, value)...)
	}
	return faults
}

func (f Field) checkMap(at string, values map[string]string) []sycamorerun.Fault {
	faults := f.length(at, len(values))
	if len(faults) > 0 {
		return faults
	}
	for _, key := range slices.Sorted(maps.Keys(values)) {
		place := join(at, key)
		if key == "host" {
			faults = append(faults, one(CodeBadName, place, "the field hosts matches the host")...)
		}
		faults = append(faults, f.Format.check(place, key)...)
		faults = append(faults, valueFormat.check(place, values[key])...)
	}
	return faults
}

func (f Field) checkTargets(at string, targets []sycamorerun.Target) []sycamorerun.Fault {
	faults := f.length(at, len(targets))
	if len(faults) > 0 {
		return faults
	}
	seen, total := map[string]bool{}, 0
	for i := range targets {
		place := fmt.Sprintf("%s[%d]", at, i)
		faults = append(faults, check(objectTarget, place, &targets[i])...)
		faults = append(faults, once(seen, join(place, "service"), targets[i].Service)...)
		total += targets[i].Weight
	}
	if total == 0 {
		faults = append(faults, one(CodeOutOfBounds, at, "every weight is 0")...)
	}
	return faults
}

func (f Field) checkOperators(at string, operators []sycamorerun.Operator) []sycamorerun.Fault {
	faults := f.length(at, len(operators))
	if len(faults) > 0 {
		return faults
	}
	names, hashes := map[string]bool{}, map[string]bool{}
	for i := range operators {
		place := fmt.Sprintf("%s[%d]", at, i)
		faults = append(faults, check(objectOperator, place, &operators[i])...)
		faults = append(faults, once(names, join(place, "name"), operators[i].Name)...)
		faults = append(faults, once(hashes, join(place, "hash"), operators[i].Hash)...)
	}
	return faults
}

// once reports a value that is already in seen. An empty value is the fault
// of another rule.
func once(seen map[string]bool, at, value string) []sycamorerun.Fault {
	if value != "" && seen[value] {
		return one(CodeDuplicate, at, "%s occurs twice", quote(value))
	}
	seen[value] = true
	return nil
}

func one(code, at, format string, args ...any) []sycamorerun.Fault {
	return []sycamorerun.Fault{{Code: code, Path: at, Reason: fmt.Sprintf(format, args...)}}
}

func join(at, name string) string {
	if at == "" {
		return name
	}
	return at + "." + name
}

// quote bounds how much of a value a reason repeats.
func quote(value string) string {
	const limit = 80
	if len(value) > limit {
		return fmt.Sprintf("%q...", value[:limit])
	}
	return fmt.Sprintf("%q", value)
}
