package forwarder

import (
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"sycamorerun/encoder"
)

var errProtocol = errors.New("frame out of order")

// link writes and reads the frames of one stream.
type link struct {
	conn  net.Conn
	mutex sync.Mutex
}

func (l *link) send(frame *Frame) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	_, err := encoder.Write(l.conn, frame)
	return err
}

func (l *link) receive() (*Frame, error) {
	return encoder.Read[Frame](l.conn, frameBytes)
}

// cancel tells the other side that the call is no longer awaited, if the
// stream takes the frame at once, and closes the stream, which means the same.
func (l *link) cancel(now time.Time) {
	_ = l.conn.SetWriteDeadline(now.Add(cancelWait))
	if l.mutex.TryLock() {
		_, _ = encoder.Write(l.conn, &Frame{Kind: &Frame_Cancel{Cancel: &Cancel{}}})
		l.mutex.Unlock()
	}
	_ = l.conn.Close()
}

// cancelWait bounds the write of a cancel frame.
const cancelWait = 50 * time.Millisecond

// sendBody sends the chunks of a body and its end. A body that breaks off has
// an end that is not complete.
func (l *link) sendBody(next func() ([]byte, error), trailer func() http.Header, progress func()) error {
	for {
		data, err := next()
		if err == io.EOF {
			return l.send(&Frame{Kind: &Frame_End{End: &End{Complete: true, Trailers: toFields(trailer())}}})
		}
		if err != nil {
			_ = l.send(&Frame{Kind: &Frame_End{End: &End{}}})
			return err
		}
		if err := l.send(&Frame{Kind: &Frame_Chunk{Chunk: data}}); err != nil {
			return err
		}
		progress()
	}
}
