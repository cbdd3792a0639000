package recorder

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"sycamorerun"
	"sycamorerun/node/announcer"
)

// maxRecordBytes is the maximum size of a record that is read: all its ids of 1 KiB, which JSON may escape.
const maxRecordBytes = 64 << 10

// record is the stored form of the departures of a node.
type record struct {
	Departures []departure `json:"departures"`
}

// departure is the stored form of a departure. Time is in Unix milliseconds. Boot is
// a pointer, since a departure without one is from another writer.
type departure struct {
	ID      string `json:"id"`
	Boot    *int64 `json:"boot"`
	Last    int64  `json:"last,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
	Time    int64  `json:"time"`
}

func encode(departures []sycamorerun.Departure) ([]byte, error) {
	r := record{Departures: []departure{}}
	for _, d := range departures {
		r.Departures = append(r.Departures, departure{d.ID, &d.Boot, d.Last, d.Deleted, d.At.UnixMilli()})
	}
	value, err := json.Marshal(r)
	return value, errors.Wrap(err, "encode departures")
}

// decode decodes a record. A record with an unusable departure is from another writer
// and an error as a whole.
func decode(value []byte) ([]sycamorerun.Departure, error) {
	if len(value) > maxRecordBytes {
		return nil, errors.Errorf("record has %d bytes, limit %d", len(value), maxRecordBytes)
	}
	var r record
	if err := json.Unmarshal(value, &r); err != nil {
		return nil, errors.Wrap(err, "decode departures")
	}
	if len(r.Departures) > announcer.MaxDepartures {
		return nil, errors.Errorf("record has %d departures, limit %d", len(r.Departures), announcer.MaxDepartures)
	}
	var departures []sycamorerun.Departure
	for _, d := range r.Departures {
		if d.ID == "" || d.Boot == nil || *d.Boot < 0 || d.Last < 0 || d.Time <= 0 {
			return nil, errors.Errorf("unusable departure of %.64q", d.ID)
		}
		departures = append(departures, sycamorerun.Departure{ID: d.ID, Boot: *d.Boot, Last: d.Last, Deleted: d.Deleted, At: time.UnixMilli(d.Time)})
	}
	return departures, nil
}
