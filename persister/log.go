package persister

import (
	"context"
	"fmt"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"sycamorerun"
	"sycamorerun/encoder"
)

// Keys and key prefixes of the objects in the store.
const (
	LogPrefix      = "log/"
	SnapshotKey    = "snapshot"
	ProposalPrefix = "proposal/"
)

// RingSlots is the number of objects that hold the log as a ring buffer. Version N
// is in slot N mod RingSlots and replaces version N-RingSlots.
const RingSlots = 1024

// ValueBytes is the maximum size of a stored entry or snapshot. It is below the
// store's limit of 1,000,000 bytes per value.
const ValueBytes = 900 << 10

// ErrTooLarge means that an encoding exceeds its limit, or that a list exceeds the
// limit of the client.
var ErrTooLarge = errors.New("value too large")

// ErrUndecodable means that an object exists, but can't be decoded, or holds what
// belongs under another key.
var ErrUndecodable = errors.New("object can't be decoded")

// LogKey returns the key of the ring slot for version.
func LogKey(version sycamorerun.Version) string {
	return fmt.Sprintf("%s%04d", LogPrefix, version%RingSlots)
}

// ProposalKey returns the key of a proposal under review.
func ProposalKey(team, id string) string {
	return ProposalPrefix + team + "/" + id
}

// EncodeEntry returns the stored form of entry, or ErrTooLarge if it exceeds
// ValueBytes.
func EncodeEntry(entry sycamorerun.Entry) ([]byte, error) {
	return Encode(encoder.FromEntry(entry), ValueBytes)
}

// DecodeEntry decodes the stored form of an entry.
func DecodeEntry(data []byte) (sycamorerun.Entry, error) {
	message, err := encoder.Unpack[encoder.Entry](data)
	if err != nil {
		return sycamorerun.Entry{}, err
	}
	return encoder.ToEntry(message)
}

// EncodeSnapshot returns the stored form of tree, or ErrTooLarge if it exceeds
// ValueBytes.
func EncodeSnapshot(tree sycamorerun.Tree, hash sycamorerun.Hash) ([]byte, error) {
	return Encode(encoder.FromTree(tree, hash), ValueBytes)
}

// DecodeSnapshot decodes the stored form of a snapshot. It does not verify the hash.
func DecodeSnapshot(data []byte) (sycamorerun.Tree, sycamorerun.Hash, error) {
	message, err := encoder.Unpack[encoder.Snapshot](data)
	if err != nil {
		return sycamorerun.Tree{}, sycamorerun.Hash{}, err
	}
	return encoder.ToTree(message)
}

// DecodeLogObject decodes the entry in an object of the log. The error wraps
// ErrUndecodable if the object holds no entry of its slot.
func DecodeLogObject(object Object) (sycamorerun.Entry, error) {
	entry, err := DecodeEntry(object.Value)
	if err == nil && LogKey(entry.Version) != object.Key {
		err = errors.Errorf("it holds version %s", entry.Version)
	}
	if err != nil {
		return sycamorerun.Entry{}, errors.Wrapf(ErrUndecodable, "log object %s: %s", object.Key, err)
	}
	return entry, nil
}

// ReadEntry returns the entry in the ring slot of version and the slot's revision.
// The slot may hold an older or a newer version, so callers must check
// Entry.Version. For an empty slot the error is ErrMissing.
func ReadEntry(ctx context.Context, store Store, version sycamorerun.Version) (sycamorerun.Entry, Revision, error) {
	object, err := store.Get(ctx, LogKey(version))
	if err != nil {
		return sycamorerun.Entry{}, 0, err
	}
	entry, err := DecodeEntry(object.Value)
	return entry, object.Revision, errors.Wrapf(err, "decode %s", object.Key)
}

// WriteEntry writes entry to its ring slot if the slot's revision equals expected.
// Zero means that the slot must be empty.
func WriteEntry(ctx context.Context, store Store, entry sycamorerun.Entry, expected Revision) (Revision, error) {
	data, err := EncodeEntry(entry)
	if err != nil {
		return 0, err
	}
	return store.Put(ctx, LogKey(entry.Version), data, expected)
}

// ReadSnapshot returns the stored snapshot, the unverified hash that is stored with
// it, and the object's revision, or ErrMissing if there is no snapshot. With
// ErrUndecodable, only the revision is valid.
func ReadSnapshot(ctx context.Context, store Store) (sycamorerun.Tree, sycamorerun.Hash, Revision, error) {
	object, err := store.Get(ctx, SnapshotKey)
	if err != nil {
		return sycamorerun.Tree{}, sycamorerun.Hash{}, 0, err
	}
	tree, hash, err := DecodeSnapshot(object.Value)
	if err != nil {
		return sycamorerun.Tree{}, sycamorerun.Hash{}, object.Revision, errors.Wrapf(ErrUndecodable, "snapshot: %s", err)
	}
	return tree, hash, object.Revision, nil
}

// Encode returns the encoding of message, or ErrTooLarge if it exceeds limit.
func Encode(message proto.Message, limit int) ([]byte, error) {
	data, err := encoder.Pack(message)
	if err != nil {
		return nil, err
	}
	if len(data) > limit {
		return nil, errors.Wrapf(ErrTooLarge, "%d bytes, limit %d", len(data), limit)
	}
	return data, nil
}
