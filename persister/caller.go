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
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Call is one call of a store over HTTP with JSON.
type Call struct {
	Method, Path string
	Query        url.Values
	// Body is encoded unless it is nil.
	Body any
	// Timeout bounds the whole call.
	Timeout time.Duration
}

// write reports whether the call can have an effect.
func (c Call) write() bool { return c.Method != http.MethodGet }

// HTTPClient makes calls of a store and tells their outcomes apart. Its fields are
// set before the first call.
type HTTPClient struct {
	Address netip.AddrPort
	HTTP    *http.Client
	// Header is sent with each call, ContentType with each body unless it is
	// empty.
	Header      http.Header
	ContentType string
	// MaxResponseBytes bounds an answer.
	MaxResponseBytes int
	// SuccessStatuses are the statuses of success beside 200.
	SuccessStatuses []int
}

// outcomes are the statuses with a meaning of their own. 429 and 503 promise
// that the call had no effect.
var outcomes = map[int]error{
	http.StatusNotFound:              ErrMissing,
	http.StatusConflict:              ErrConflict,
	http.StatusGone:                  ErrCompacted,
	http.StatusTooManyRequests:       ErrUnavailable,
	http.StatusServiceUnavailable:    ErrUnavailable,
	http.StatusBadRequest:            ErrInvalid,
	http.StatusRequestEntityTooLarge: ErrInvalid,
}

// Do makes one call and decodes its answer into result unless that is nil.
func (c *HTTPClient) Do(ctx context.Context, call Call, result any) error {
	ctx, cancel := context.WithTimeout(ctx, call.Timeout)
	defer cancel()
	// Before the transport has a connection nothing can have been sent. From
	// then on a write that gets no answer may have taken effect.
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := c.request(ctx, call)
	if err != nil {
		return err
	}
	response, err := c.HTTP.Do(request)
	if err != nil {
		return lost(call.write() && connected.Load(), err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, int64(c.MaxResponseBytes)+1))
	if !c.done(response.StatusCode) {
		return refused(call, response.StatusCode, body)
	}
	if err == nil && len(body) > c.MaxResponseBytes {
		err = errors.Errorf("answer above %d bytes", c.MaxResponseBytes)
	}
	if err == nil && result != nil {
		err = json.Unmarshal(body, result)
	}
	if err != nil {
		return lost(call.write(), err)
	}
	return nil
}

func (c *HTTPClient) done(status int) bool {
	return status == http.StatusOK || slices.Contains(c.SuccessStatuses, status)
}

func (c *HTTPClient) request(ctx context.Context, call Call) (*http.Request, error) {
	var body io.Reader
	if call.Body != nil {
		data, err := json.Marshal(call.Body)
		if err != nil {
			return nil, errors.Wrap(err, "encode store call")
		}
		body = bytes.NewReader(data)
	}
	target := url.URL{Scheme: "http", Host: c.Address.String(), Path: call.Path, RawQuery: call.Query.Encode()}
	request, err := http.NewRequestWithContext(ctx, call.Method, target.String(), body)
	if err != nil {
		return nil, errors.Wrap(err, "store call")
	}
	for name, values := range c.Header {
		request.Header[name] = values
	}
	if call.Body != nil && c.ContentType != "" {
		request.Header.Set("Content-Type", c.ContentType)
	}
	return request, nil
}

// lost maps a call without a usable answer.
func lost(effect bool, err error) error {
	if effect {
		return errors.Wrap(ErrUnknown, err.Error())
	}
	return errors.Wrap(ErrUnavailable, err.Error())
}

// refused maps an answer other than success.
func refused(call Call, status int, body []byte) error {
	outcome, known := outcomes[status]
	if !known {
		return lost(call.write(), errors.Errorf("status %d", status))
	}
	var problem struct {
		Error string `json:"error"`
	}
	_ = json.Unmarshal(body, &problem)
	return errors.Wrapf(outcome, "status %d %s", status, problem.Error)
}
