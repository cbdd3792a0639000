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

// maxFrameBytes bounds a frame: the largest stored value and its envelope.
const maxFrameBytes = persister.ValueBytes + 64<<10

var errChecksum = errors.New("content does not match its checksum")

func pack(data []byte) *Packed {
	return &Packed{Data: data, Sum: xxhash.Sum64(data)}
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
