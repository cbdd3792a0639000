package encoder

import (
	"maps"
	"slices"
	"time"

	"github.com/klauspost/compress/zstd"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"sycamorerun"
)

// MaxPlainBytes is the maximum size of a decompressed message. A tree translated
// from a document of 1 MB can exceed 8 MB, since each route repeats its host.
const MaxPlainBytes = 32 << 20

var (
	compressor, _   = zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true))
	decompressor, _ = zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(MaxPlainBytes))
)

// Pack marshals message into an Envelope, compressed if that is smaller.
func Pack(message proto.Message) ([]byte, error) {
	plain, err := proto.Marshal(message)
	if err != nil {
		return nil, errors.Wrap(err, "pack")
	}
	envelope := &Envelope{Plain: plain}
	if packed := compressor.EncodeAll(plain, nil); len(packed) < len(plain) {
		envelope = &Envelope{Zstd: packed}
	}
	data, err := proto.Marshal(envelope)
	return data, errors.Wrap(err, "pack")
}

// Unpack decodes data written by Pack into a new T.
func Unpack[T any, M Message[T]](data []byte) (M, error) {
	envelope := &Envelope{}
	if err := proto.Unmarshal(data, envelope); err != nil {
		return nil, errors.Wrap(err, "unpack envelope")
	}
	plain := envelope.GetPlain()
	if packed := envelope.GetZstd(); len(packed) > 0 {
		var err error
		if plain, err = decompressor.DecodeAll(packed, nil); err != nil {
			return nil, errors.Wrap(err, "decompress")
		}
	}
	message := M(new(T))
	return message, errors.Wrap(proto.Unmarshal(plain, message), "unpack")
}

// FromEntry converts an entry to a message with items in path order.
func FromEntry(entry sycamorerun.Entry) *Entry {
	message := &Entry{
		Version:  uint64(entry.Version),
		Base:     uint64(entry.Base),
		Hash:     entry.Hash[:],
		Put:      fromItems(entry.Difference.Put),
		UnixNano: entry.Time.UnixNano(),
	}
	for _, path := range entry.Difference.Remove {
		message.Remove = append(message.Remove, string(path))
	}
	for _, change := range entry.Changes {
		message.Changes = append(message.Changes, &Accepted{
			Id: change.ID, Team: change.Team, Operator: change.Operator, Kind: string(change.Kind),
		})
	}
	return message
}

// ToEntry converts a message to an entry.
func ToEntry(message *Entry) (sycamorerun.Entry, error) {
	entry := sycamorerun.Entry{
		Version:    sycamorerun.Version(message.GetVersion()),
		Base:       sycamorerun.Version(message.GetBase()),
		Difference: sycamorerun.Difference{Put: toItems(message.GetPut())},
		Time:       time.Unix(0, message.GetUnixNano()).UTC(),
	}
	if err := setHash(&entry.Hash, message.GetHash()); err != nil {
		return sycamorerun.Entry{}, err
	}
	for _, path := range message.GetRemove() {
		entry.Difference.Remove = append(entry.Difference.Remove, sycamorerun.Path(path))
	}
	for _, change := range message.GetChanges() {
		entry.Changes = append(entry.Changes, sycamorerun.Accepted{
			ID: change.GetId(), Team: change.GetTeam(), Operator: change.GetOperator(),
			Kind: sycamorerun.ChangeKind(change.GetKind()),
		})
	}
	return entry, nil
}

// FromTree converts a tree and its hash to a snapshot with items in path order.
func FromTree(tree sycamorerun.Tree, hash sycamorerun.Hash) *Snapshot {
	return &Snapshot{Version: uint64(tree.Version), Hash: hash[:], Items: fromItems(tree.Items)}
}

// ToTree converts a snapshot to a tree and the hash stated in the snapshot,
// which it does not verify.
func ToTree(message *Snapshot) (sycamorerun.Tree, sycamorerun.Hash, error) {
	tree := sycamorerun.Tree{
		Version: sycamorerun.Version(message.GetVersion()),
		Items:   toItems(message.GetItems()),
	}
	var hash sycamorerun.Hash
	err := setHash(&hash, message.GetHash())
	return tree, hash, err
}

func setHash(hash *sycamorerun.Hash, data []byte) error {
	if len(data) != len(hash) {
		return errors.Errorf("hash of %d bytes, want %d", len(data), len(hash))
	}
	copy(hash[:], data)
	return nil
}

func fromItems(items map[sycamorerun.Path]sycamorerun.Item) []*Item {
	messages := make([]*Item, 0, len(items))
	for _, path := range slices.Sorted(maps.Keys(items)) {
		messages = append(messages, &Item{Path: string(path), Json: items[path]})
	}
	return messages
}

func toItems(messages []*Item) map[sycamorerun.Path]sycamorerun.Item {
	items := make(map[sycamorerun.Path]sycamorerun.Item, len(messages))
	for _, message := range messages {
		items[sycamorerun.Path(message.GetPath())] = message.GetJson()
	}
	return items
}
