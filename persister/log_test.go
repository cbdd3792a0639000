package persister

import (
	"bytes"
	"crypto/rand"
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"sycamorerun"
)

func sampleEntry() sycamorerun.Entry {
	return sycamorerun.Entry{
		Version: 1031,
		Base:    1029,
		Hash:    sycamorerun.Hash{1, 2},
		Difference: sycamorerun.Difference{
			Put:    map[sycamorerun.Path]sycamorerun.Item{"quoting/service/desk": sycamorerun.Item(`{"slots":6}`)},
			Remove: []sycamorerun.Path{"quoting/route/old"},
		},
		Changes: []sycamorerun.Accepted{{ID: "a", Team: "quoting", Operator: "ann", Kind: sycamorerun.Apply}},
		Time:    time.Unix(7, 9).UTC(),
	}
}

// TestEntryRoundTrip guards against a codec that drops a field, and against a
// mapping of versions to slots that differs between the writer and the readers of
// the log.
func TestEntryRoundTrip(t *testing.T) {
	is := is.New(t)
	data, err := EncodeEntry(sampleEntry())
	is.NoErr(err)
	entry, err := DecodeEntry(data)
	is.NoErr(err)
	is.Equal(entry, sampleEntry())
	is.Equal(LogKey(entry.Version), "log/0007")
	is.Equal(LogKey(1023), "log/1023")
	is.Equal(LogKey(1024), "log/0000")
}

// TestEntryTooLarge guards against an entry that the store refuses for its size
// after the acceptor has decided to commit it.
func TestEntryTooLarge(t *testing.T) {
	is := is.New(t)
	random := make([]byte, ValueBytes)
	_, err := rand.Read(random)
	is.NoErr(err)
	item, err := json.Marshal(random)
	is.NoErr(err)
	entry := sampleEntry()
	entry.Difference.Put["quoting/service/desk"] = item
	_, err = EncodeEntry(entry)
	is.True(errors.Is(err, ErrTooLarge))
}

// FuzzDecodeEntry guards against a panic on damaged log objects, and against an
// entry that changes when it is decoded and encoded again.
func FuzzDecodeEntry(f *testing.F) {
	data, err := EncodeEntry(sampleEntry())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte{})
	f.Add(data[:len(data)/2])
	f.Fuzz(func(t *testing.T, data []byte) {
		entry, err := DecodeEntry(data)
		if err != nil {
			return
		}
		first, err := EncodeEntry(entry)
		if err != nil {
			return
		}
		decoded, err := DecodeEntry(first)
		if err != nil {
			t.Fatalf("decode of a re-encoded entry: %v", err)
		}
		second, err := EncodeEntry(decoded)
		if err != nil || !bytes.Equal(first, second) {
			t.Fatalf("encoding is not stable: %v", err)
		}
	})
}
