package parser

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"sycamorerun"
)

// checkObject checks the fields of object. The paths of its faults begin with
// path.
func checkObject(kind, path string, object any) []sycamorerun.Fault {
	var faults []sycamorerun.Fault
	for _, field := range fieldsByObject[kind] {
		faults = append(faults, field.check(joinPath(path, field.Name), field.pointer(object))...)
	}
	return faults
}

func (f Field) check(path string, value any) []sycamorerun.Fault {
	switch value := value.(type) {
	case *int:
		return f.checkRange(path, float64(*value), fmt.Sprint(*value))
	case *float64:
		return f.checkRange(path, *value, fmt.Sprint(*value))
	case *sycamorerun.Duration:
		if time.Duration(*value)%time.Millisecond != 0 {
			return newFaults(CodeOutOfBounds, path, "%s is not a whole number of milliseconds", durationText(*value))
		}
		return f.checkRange(path, float64(*value), durationText(*value))
	case *bool:
		return nil
	case *string:
		return f.checkText(path, *value)
	case *[]string:
		return f.checkList(path, *value)
	case *map[string]string:
		return f.checkMap(path, *value)
	case *[]sycamorerun.Target:
		return f.checkTargets(path, *value)
	case *[]sycamorerun.Operator:
		return f.checkOperators(path, *value)
	}
	panic("no rule for the type of field " + f.Name)
}

// checkRange checks the bounds of a number. The comparison also rejects NaN.
func (f Field) checkRange(path string, value float64, text string) []sycamorerun.Fault {
	if value >= f.Low && value <= f.High {
		return nil
	}
	return newFaults(CodeOutOfBounds, path, "%s is outside %s", text, f.rangeText())
}

// checkLength checks the length of a list or map. Callers skip the elements of
// one that is too long, which bounds the work.
func (f Field) checkLength(path string, length int) []sycamorerun.Fault {
	if float64(length) >= f.Low && float64(length) <= f.High {
		return nil
	}
	return newFaults(CodeOutOfBounds, path, "%d %s are outside %s", length, f.Unit, f.rangeText())
}

func (f Field) checkText(path, value string) []sycamorerun.Fault {
	if len(f.Values) > 0 {
		if slices.Contains(f.Values, value) {
			return nil
		}
		return newFaults(CodeBadValue, path, "%s is not one of %s", quote(value), strings.Join(f.Values, ", "))
	}
	limit := len(value)
	switch f.Name {
	case "prefix":
		limit = maxPrefixBytes
		if strings.ContainsAny(value, "?#%") {
			return newFaults(f.Format.Code, path, "%s is not %s", quote(value), f.Format.Rule)
		}
	case "hosts":
		limit = MaxHostBytes
	}
	if len(value) > limit {
		return newFaults(CodeOutOfBounds, path, "%d characters are more than %d", len(value), limit)
	}
	return f.Format.check(path, value)
}

func (f Format) check(path, value string) []sycamorerun.Fault {
	if f.pattern.MatchString(value) {
		return nil
	}
	if f.secret {
		return newFaults(f.Code, path, "the value is not %s", f.Rule)
	}
	return newFaults(f.Code, path, "%s is not %s", quote(value), f.Rule)
}

func (f Field) checkList(path string, values []string) []sycamorerun.Fault {
	faults := f.checkLength(path, len(values))
	if len(faults) > 0 {
		return faults
	}
	seen := map[string]bool{}
	for i, value := range values {
		elementPath := fmt.Sprintf("%s[%d]", path, i)
		faults = append(faults, f.checkText(elementPath, value)...)
		faults = append(faults, f.Format.checkUnique(seen, elementPath, value)...)
	}
	return faults
}

func (f Field) checkMap(path string, values map[string]string) []sycamorerun.Fault {
	faults := f.checkLength(path, len(values))
	if len(faults) > 0 {
		return faults
	}
	for _, key := range slices.Sorted(maps.Keys(values)) {
		keyPath := joinPath(path, key)
		if key == "host" {
			faults = append(faults, newFaults(CodeBadName, keyPath, "the field hosts matches the host")...)
		}
		faults = append(faults, f.Format.check(keyPath, key)...)
		faults = append(faults, valueFormat.check(keyPath, values[key])...)
	}
	return faults
}

func (f Field) checkTargets(path string, targets []sycamorerun.Target) []sycamorerun.Fault {
	faults := f.checkLength(path, len(targets))
	if len(faults) > 0 {
		return faults
	}
	seen, totalWeight := map[string]bool{}, 0
	for i := range targets {
		elementPath := fmt.Sprintf("%s[%d]", path, i)
		faults = append(faults, checkObject(objectTarget, elementPath, &targets[i])...)
		faults = append(faults, nameFormat.checkUnique(seen, joinPath(elementPath, "service"), targets[i].Service)...)
		totalWeight += targets[i].Weight
	}
	if totalWeight == 0 {
		faults = append(faults, newFaults(CodeOutOfBounds, path, "every weight is 0")...)
	}
	return faults
}

func (f Field) checkOperators(path string, operators []sycamorerun.Operator) []sycamorerun.Fault {
	faults := f.checkLength(path, len(operators))
	if len(faults) > 0 {
		return faults
	}
	names, hashes := map[string]bool{}, map[string]bool{}
	for i := range operators {
		elementPath := fmt.Sprintf("%s[%d]", path, i)
		faults = append(faults, checkObject(objectOperator, elementPath, &operators[i])...)
		faults = append(faults, nameFormat.checkUnique(names, joinPath(elementPath, "name"), operators[i].Name)...)
		faults = append(faults, hashFormat.checkUnique(hashes, joinPath(elementPath, "hash"), operators[i].Hash)...)
	}
	return faults
}

// checkUnique returns a fault if value is already in seen and adds it to seen.
// Empty values are ignored because another rule rejects them.
func (f Format) checkUnique(seen map[string]bool, path, value string) []sycamorerun.Fault {
	if value != "" && seen[value] {
		if f.secret {
			return newFaults(CodeDuplicate, path, "the value occurs twice")
		}
		return newFaults(CodeDuplicate, path, "%s occurs twice", quote(value))
	}
	seen[value] = true
	return nil
}

func newFaults(code, path, format string, args ...any) []sycamorerun.Fault {
	return []sycamorerun.Fault{{Code: code, Path: path, Reason: fmt.Sprintf(format, args...)}}
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// quote quotes value for use in a fault's reason and truncates it to 80 bytes.
func quote(value string) string {
	const limit = 80
	if len(value) > limit {
		return fmt.Sprintf("%q...", value[:limit])
	}
	return fmt.Sprintf("%q", value)
}
