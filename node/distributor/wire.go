package distributor

import (
	"bytes"
	"io"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"sycamorerun"
	"sycamorerun/encoder"
	"sycamorerun/persister"
)

const (
	// maxContentBytes bounds an entry or a snapshot between nodes. It exceeds
	// persister.ValueBytes, since a document of the operators may have up to 1 MB
	// and hardly compress.
	maxContentBytes = 2 << 20
	// maxFrameBytes bounds a frame: the largest content and its envelope.
	maxFrameBytes = maxContentBytes + 64<<10
)

var errChecksum = errors.New("content does not match its checksum")

func pack(data []byte) *Packed {
	return &Packed{Data: data, Sum: xxhash.Sum64(data)}
}

// encodeEntry returns the encoding of an entry, which is its stored form if it fits
// into the store.
func encodeEntry(entry sycamorerun.Entry) ([]byte, error) {
	return persister.Encode(encoder.FromEntry(entry), maxContentBytes)
}

// encodeSnapshot does the same for a tree.
func encodeSnapshot(tree sycamorerun.Tree, hash sycamorerun.Hash) ([]byte, error) {
	return persister.Encode(encoder.FromTree(tree, hash), maxContentBytes)
}

func unpackEntry(packed *Packed) (sycamorerun.Entry, error) {
	if xxhash.Sum64(packed.GetData()) != packed.GetSum() {
		return sycamorerun.Entry{}, errChecksum
	}
	return persister.DecodeEntry(packed.GetData())
}

func unpackSnapshot(packed *Packed) (sycamorerun.Tree, sycamorerun.Hash, error) {
	if xxhash.Sum64(packed.GetData()) != packed.GetSum() {
		return sycamorerun.Tree{}, sycamorerun.Hash{}, errChecksum
	}
	return persister.DecodeSnapshot(packed.GetData())
}

func newPush(version sycamorerun.Version, data []byte) *Message {
	return &Message{Kind: &Message_Push{Push: &Push{Version: uint64(version), Entry: pack(data)}}}
}

func newHave(version sycamorerun.Version, direct bool) *Message {
	return &Message{Kind: &Message_Have{Have: &Have{Version: uint64(version), Direct: direct}}}
}

func newWant(after sycamorerun.Version, probe bool) *Message {
	return &Message{Kind: &Message_Want{Want: &Want{After: uint64(after), Probe: probe}}}
}

// encodeFrame encodes message once, so that several links can share the bytes.
func encodeFrame(message proto.Message) []byte {
	var buffer bytes.Buffer
	if _, err := encoder.Write(&buffer, message); err != nil {
		panic(errors.Wrap(err, "encode message"))
	}
	return buffer.Bytes()
}

func readMessage(r io.Reader) (*Message, error) { return encoder.Read[Message](r, maxFrameBytes) }

func readReply(r io.Reader) (*Reply, error) { return encoder.Read[Reply](r, maxFrameBytes) }
