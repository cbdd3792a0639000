package loader

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Kind parses a setting's text to a T and describes the allowed values.
type Kind[T any] struct {
	Allowed string
	Secret  bool
	Parse   func(text string) (T, error)
}

var errNotAllowed = errors.New("not allowed")

// Text accepts any text. The argument describes the allowed values.
func Text(allowed string) Kind[string] {
	return Kind[string]{Allowed: allowed, Parse: func(text string) (string, error) { return text, nil }}
}

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// Name accepts names of instances, availability zones and regions.
func Name() Kind[string] {
	return Kind[string]{
		Allowed: "1 to 63 of a-z, 0-9 and -",
		Parse: func(text string) (string, error) {
			if !namePattern.MatchString(text) {
				return "", errNotAllowed
			}
			return text, nil
		},
	}
}

// Choice accepts one of the given words.
func Choice(words ...string) Kind[string] {
	return Kind[string]{
		Allowed: strings.Join(words, ", "),
		Parse: func(text string) (string, error) {
			if !slices.Contains(words, text) {
				return "", errNotAllowed
			}
			return text, nil
		},
	}
}

// Duration accepts durations with a unit from minValue to maxValue.
func Duration(minValue, maxValue time.Duration) Kind[time.Duration] {
	return Kind[time.Duration]{
		Allowed: fmt.Sprintf("%s to %s", minValue, maxValue),
		Parse: func(text string) (time.Duration, error) {
			value, err := time.ParseDuration(text)
			if err != nil || value < minValue || value > maxValue {
				return 0, errNotAllowed
			}
			return value, nil
		},
	}
}

// Int accepts integers from minValue to maxValue.
func Int(minValue, maxValue int) Kind[int] {
	return Kind[int]{
		Allowed: fmt.Sprintf("%d to %d", minValue, maxValue),
		Parse: func(text string) (int, error) {
			value, err := strconv.Atoi(text)
			if err != nil || value < minValue || value > maxValue {
				return 0, errNotAllowed
			}
			return value, nil
		},
	}
}

// Float accepts numbers from minValue to maxValue.
func Float(minValue, maxValue float64) Kind[float64] {
	return Kind[float64]{
		Allowed: fmt.Sprintf("%v to %v", minValue, maxValue),
		Parse: func(text string) (float64, error) {
			value, err := strconv.ParseFloat(text, 64)
			if err != nil || !(value >= minValue && value <= maxValue) {
				return 0, errNotAllowed
			}
			return value, nil
		},
	}
}

// Bool accepts true and false, and their short forms such as 1 and f.
func Bool() Kind[bool] {
	return Kind[bool]{Allowed: "true, false", Parse: strconv.ParseBool}
}

// Address accepts an IP address with a port.
func Address() Kind[netip.AddrPort] {
	return Kind[netip.AddrPort]{Allowed: "an IP address and a port, such as 127.0.0.1:7070", Parse: netip.ParseAddrPort}
}

// OptionalAddress accepts an IP address with a port, or an empty text.
func OptionalAddress() Kind[netip.AddrPort] {
	return Kind[netip.AddrPort]{
		Allowed: "an IP address and a port, or nothing",
		Parse: func(text string) (netip.AddrPort, error) {
			if text == "" {
				return netip.AddrPort{}, nil
			}
			return netip.ParseAddrPort(text)
		},
	}
}

// Addresses accepts a comma-separated list of IP addresses with ports, which may
// be empty.
func Addresses() Kind[[]netip.AddrPort] {
	return Kind[[]netip.AddrPort]{
		Allowed: "IP addresses and ports, separated by commas, or nothing",
		Parse: func(text string) ([]netip.AddrPort, error) {
			var addresses []netip.AddrPort
			for word := range strings.SplitSeq(text, ",") {
				if strings.TrimSpace(word) == "" {
					continue
				}
				address, err := netip.ParseAddrPort(strings.TrimSpace(word))
				if err != nil {
					return nil, errNotAllowed
				}
				addresses = append(addresses, address)
			}
			return addresses, nil
		},
	}
}

// Pattern accepts text that matches the regular expression.
func Pattern(expression, allowed string) Kind[string] {
	pattern := regexp.MustCompile(expression)
	return Kind[string]{
		Allowed: allowed,
		Parse: func(text string) (string, error) {
			if !pattern.MatchString(text) {
				return "", errNotAllowed
			}
			return text, nil
		},
	}
}
