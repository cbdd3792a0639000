package persister

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Call is a request to a store over HTTP with JSON.
type Call struct {
	Method, Path string
	Query        url.Values
	// Body is encoded as JSON unless it is nil.
	Body any
	// Timeout limits the time until the response begins to arrive. The rest of its
	// body may take longer.
	Timeout time.Duration
	// TooLarge is the error for a response that exceeds the limit. Nil means the
	// error of a call without a usable response.
	TooLarge error
}

// isWrite reports whether the call can have an effect.
func (c Call) isWrite() bool { return c.Method != http.MethodGet }

// HTTPClient sends calls to a store and maps their results to the errors of this
// package. Its fields must be set before the first call.
type HTTPClient struct {
	Address netip.AddrPort
	HTTP    *http.Client
	// Header is sent with each call.
	Header http.Header
	// EraHeader is the name of the response header with the store's era, or empty
	// if the store has none.
	EraHeader string
	// ContentType is sent with each body unless it is empty.
	ContentType string
	// MaxResponseBytes is the maximum size of a response body.
	MaxResponseBytes int
	// SuccessStatuses are the statuses other than 200 that mean success.
	SuccessStatuses []int
}

// errorsByStatus maps statuses to errors. The store uses 429 and 503 only for calls
// that had no effect.
var errorsByStatus = map[int]error{
	http.StatusNotFound:              ErrMissing,
	http.StatusConflict:              ErrConflict,
	http.StatusGone:                  ErrCompacted,
	http.StatusTooManyRequests:       ErrUnavailable,
	http.StatusServiceUnavailable:    ErrUnavailable,
	http.StatusBadRequest:            ErrInvalid,
	http.StatusRequestEntityTooLarge: ErrInvalid,
}

const (
	// maxBodyGap limits each wait for more of a response body, and maxBodyTime the
	// whole body: 4 MiB at 7 Mbit/s take 5 s.
	maxBodyGap  = time.Second
	maxBodyTime = 8 * time.Second
)

// errTimeout is the cause of a call that is canceled since nothing arrives.
var errTimeout = errors.New("store does not respond in time")

// Do sends a call and decodes the response into result unless result is nil. It
// returns the store's era if the call succeeds.
func (c *HTTPClient) Do(ctx context.Context, call Call, result any) (Era, error) {
	ctx, stop := context.WithTimeout(ctx, call.Timeout+maxBodyTime)
	defer stop()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := time.AfterFunc(call.Timeout, func() { cancel(errTimeout) })
	defer timer.Stop()
	// Nothing can have been sent before the transport has a connection. After
	// that, a write without a response may have taken effect.
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := c.newRequest(ctx, call)
	if err != nil {
		return 0, err
	}
	response, err := c.HTTP.Do(request)
	if err != nil {
		return 0, classifyFailure(call.isWrite() && connected.Load(), err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(progressReader{response.Body, timer}, int64(c.MaxResponseBytes)+1))
	if !c.succeeded(response.StatusCode) {
		return 0, statusError(call, response.StatusCode, body)
	}
	if err == nil && len(body) > c.MaxResponseBytes {
		if call.TooLarge != nil {
			return 0, errors.Wrapf(call.TooLarge, "response exceeds %d bytes", c.MaxResponseBytes)
		}
		err = errors.Errorf("response exceeds %d bytes", c.MaxResponseBytes)
	}
	if err == nil && result != nil {
		err = decode(body, result)
	}
	if err != nil {
		return 0, classifyFailure(call.isWrite(), err)
	}
	return c.era(response.Header), nil
}

// progressReader sets a timer to maxBodyGap with each read that returns data.
type progressReader struct {
	io.Reader
	timer *time.Timer
}

func (r progressReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		r.timer.Reset(maxBodyGap)
	}
	return n, err
}

// era returns the era in the header of a response, or zero if there is none.
func (c *HTTPClient) era(header http.Header) Era {
	if c.EraHeader == "" {
		return 0
	}
	era, err := strconv.ParseUint(header.Get(c.EraHeader), 10, 64)
	if err != nil {
		return 0
	}
	return Era(era)
}

func (c *HTTPClient) succeeded(status int) bool {
	return status == http.StatusOK || slices.Contains(c.SuccessStatuses, status)
}

func (c *HTTPClient) newRequest(ctx context.Context, call Call) (*http.Request, error) {
	var body io.Reader
	if call.Body != nil {
		data, err := json.Marshal(call.Body)
		if err != nil {
			return nil, errors.Wrap(err, "encode the body of a store call")
		}
		body = bytes.NewReader(data)
	}
	target := url.URL{Scheme: "http", Host: c.Address.String(), Path: call.Path, RawQuery: call.Query.Encode()}
	request, err := http.NewRequestWithContext(ctx, call.Method, target.String(), body)
	if err != nil {
		return nil, errors.Wrap(err, "create store request")
	}
	for name, values := range c.Header {
		request.Header[name] = values
	}
	if call.Body != nil && c.ContentType != "" {
		request.Header.Set("Content-Type", c.ContentType)
	}
	return request, nil
}

// classifyFailure returns the error of a call without a usable response: ErrUnknown
// if the call may have had an effect, otherwise ErrUnavailable.
func classifyFailure(mayHaveEffect bool, err error) error {
	if mayHaveEffect {
		return errors.Wrap(ErrUnknown, err.Error())
	}
	return errors.Wrap(ErrUnavailable, err.Error())
}

// statusError returns the error for the status and the body of a response that does
// not report success.
func statusError(call Call, status int, body []byte) error {
	statusErr, known := errorsByStatus[status]
	if !known {
		return classifyFailure(call.isWrite(), errors.Errorf("status %d", status))
	}
	var problem struct {
		Error string `json:"error"`
	}
	_ = json.Unmarshal(body, &problem)
	return errors.Wrapf(statusErr, "status %d %s", status, problem.Error)
}
