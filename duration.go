package sycamorerun

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

// Duration is a time.Duration written as text, such as "2s", in items.
type Duration time.Duration

// String formats d like a time.Duration.
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalJSON writes d in the form of time.Duration.String.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(d.String())
}

// UnmarshalJSON reads the form that time.ParseDuration takes.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return errors.Wrap(err, "duration")
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return errors.Wrap(err, "duration")
	}
	*d = Duration(parsed)
	return nil
}
