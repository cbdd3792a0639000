package forwarder

import (
	"bytes"
	"cmp"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"sycamorerun"
	"sycamorerun/parser"
)

// maxHeaderBytes bounds the header of a request regardless of the limits. The
// server that reads it has a fixed bound, see Server.
const maxHeaderBytes = parser.MaxHeaderBytes

// DefaultLimits are the limits of a new forwarder.
var DefaultLimits = sycamorerun.Limits{Header: defaultMaxHeaderBytes, Body: 1 << 30}

// limits are the limits on requests, with the resulting value of the header
// Keep-Alive.
type limits struct {
	sycamorerun.Limits
	keepAlive []string
}

// SetLimits sets the limits on requests that begin from now on. A header limit
// of zero means the default and a body limit of zero permits no body. An idle
// time below a second is not announced to callers.
func (f *Forwarder) SetLimits(l sycamorerun.Limits) {
	l.Header = cmp.Or(l.Header, DefaultLimits.Header)
	next := &limits{Limits: l}
	if seconds := int64(time.Duration(l.Idle) / time.Second); seconds > 0 {
		next.keepAlive = []string{"timeout=" + strconv.FormatInt(seconds, 10)}
	}
	f.limits.Store(next)
}

// check returns the failure of a request that exceeds the limits, or nil.
func (l *limits) check(r *http.Request) *failure {
	if headerSize(r.Header)+len("Host: \r\n")+len(r.Host) > l.Header {
		return notRun(reasonHeadersTooLarge)
	}
	if r.ContentLength > int64(l.Body) {
		return notRun(reasonBodyTooLarge)
	}
	return nil
}

// headerReasons are the reasons for requests whose header was not read
// completely, by status.
var headerReasons = map[int]string{
	http.StatusRequestHeaderFieldsTooLarge: reasonHeadersTooLarge,
	http.StatusRequestTimeout:              reasonHeadersSlow,
	http.StatusServiceUnavailable:          reasonEvicted,
}

// RefuseHeader returns the response to a request whose header could not be read,
// and counts the request as a call.
func (f *Forwarder) RefuseHeader(status int) []byte {
	reason := headerReasons[status]
	f.counter(counterKey{result: sycamorerun.NotRun, reason: reason}).Inc(1)
	body := string(sycamorerun.NotRun) + ": " + reason + "\n"
	header := http.Header{}
	setHeader(header, f.Contract.Outcome, string(sycamorerun.NotRun))
	setHeader(header, f.Contract.Reason, reason)
	header.Set("Connection", "close")
	header.Set("Content-Type", "text/plain; charset=utf-8")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	header.Set("Date", f.Now().UTC().Format(http.TimeFormat))
	var response bytes.Buffer
	_, _ = fmt.Fprintf(&response, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	_ = header.Write(&response)
	response.WriteString("\r\n" + body)
	return response.Bytes()
}

// persistent reports whether the caller keeps the connection of r open for
// further requests.
func persistent(r *http.Request) bool { return r.ProtoMajor == 1 && !r.Close }
