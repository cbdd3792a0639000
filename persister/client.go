package persister

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// HeaderCaller names the caller in the store's statistics.
const HeaderCaller = "Sycamorerun-Caller"

// Defaults and limits of the client.
const (
	// DefaultTimeout bounds one call, without the wait of a watch.
	DefaultTimeout = 3 * time.Second
	// DefaultWait bounds one watch. It is short because a connection that
	// went silent is only noticed when the wait and the timeout are over.
	DefaultWait = 3 * time.Second
	// A page of a list or a watch has up to 4 MiB of keys and values, which
	// base64 turns into 5.4 MiB.
	answerBytes = 8 << 20
	// listBytes bounds the values of all pages of one list.
	listBytes = 32 << 20
	headBytes = 16 << 10
	idle      = 30 * time.Second
	probe     = 5 * time.Second
	idleConns = 4
)

// ClientConfig are the settings of a client.
type ClientConfig struct {
	Address netip.AddrPort
	// Caller is sent as HeaderCaller when it is set.
	Caller string
	// Timeout and Wait are the defaults when zero.
	Timeout time.Duration
	Wait    time.Duration
}

// NewClient returns a store that is reached over HTTP with JSON.
func NewClient(config ClientConfig) Store {
	return newClient(config, answerBytes, listBytes)
}

func newClient(config ClientConfig, answerLimit, listLimit int) Store {
	c := &client{ClientConfig: config, answerLimit: answerLimit, listLimit: listLimit}
	if c.Timeout <= 0 {
		c.Timeout = DefaultTimeout
	}
	if c.Wait <= 0 {
		c.Wait = DefaultWait
	}
	dialer := &net.Dialer{Timeout: c.Timeout, KeepAlive: probe}
	c.http = &http.Client{
		Transport: &http.Transport{
			DialContext:            dialer.DialContext,
			MaxIdleConnsPerHost:    idleConns,
			IdleConnTimeout:        idle,
			MaxResponseHeaderBytes: headBytes,
			DisableCompression:     true,
		},
		// A redirected write might be executed twice.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return Store{Get: c.get, List: c.list, Put: c.put, Delete: c.delete, Watch: c.watch}
}

type client struct {
	ClientConfig
	answerLimit, listLimit int

	http *http.Client
}

// Answers of the protocol. 429 and 503 promise that the call had no effect.
var statuses = map[int]error{
	http.StatusOK:                    nil,
	http.StatusNotFound:              ErrMissing,
	http.StatusConflict:              ErrConflict,
	http.StatusGone:                  ErrCompacted,
	http.StatusTooManyRequests:       ErrUnavailable,
	http.StatusServiceUnavailable:    ErrUnavailable,
	http.StatusBadRequest:            ErrInvalid,
	http.StatusRequestEntityTooLarge: ErrInvalid,
}

type call struct {
	method, path string
	query        url.Values
	body         any
	wait         time.Duration
}

func (c call) write() bool { return c.method == http.MethodPut || c.method == http.MethodDelete }

func (c *client) get(ctx context.Context, key string) (Object, error) {
	var object Object
	err := c.do(ctx, call{method: http.MethodGet, path: "/object", query: url.Values{"key": {key}}}, &object)
	if err == nil && object.Key != key {
		return Object{}, errors.Wrapf(ErrUnavailable, "answer for key %q instead of %q", object.Key, key)
	}
	return object, err
}

func (c *client) put(ctx context.Context, key string, value []byte, expected Revision) (Revision, error) {
	var object Object
	err := c.do(ctx, call{
		method: http.MethodPut, path: "/object",
		query: url.Values{"key": {key}, "expected": {format(expected)}},
		body:  Object{Value: value},
	}, &object)
	if err == nil && object.Revision == 0 {
		return 0, errors.Wrap(ErrUnknown, "answer without a revision")
	}
	return object.Revision, err
}

func (c *client) delete(ctx context.Context, key string, expected Revision) error {
	query := url.Values{"key": {key}, "expected": {format(expected)}}
	return c.do(ctx, call{method: http.MethodDelete, path: "/object", query: query}, nil)
}

func (c *client) list(ctx context.Context, prefix string, after Revision) (Listing, error) {
	var all Listing
	size := 0
	for {
		var page struct {
			Listing
			More bool `json:"more"`
		}
		query := url.Values{"prefix": {prefix}, "after": {format(after)}}
		if err := c.do(ctx, call{method: http.MethodGet, path: "/list", query: query}, &page); err != nil {
			return Listing{}, err
		}
		for _, object := range page.Objects {
			size += len(object.Value)
		}
		if size > c.listLimit {
			return Listing{}, errors.Wrapf(ErrTooLarge, "list of %s above %d bytes", prefix, c.listLimit)
		}
		all.Objects, all.Revision = append(all.Objects, page.Objects...), page.Revision
		if !page.More {
			return all, nil
		}
		if page.Revision <= after {
			return Listing{}, errors.Wrap(ErrUnavailable, "list page without progress")
		}
		after = page.Revision
	}
}

func (c *client) watch(ctx context.Context, prefix string, after Revision, keysOnly bool) (Listing, error) {
	var listing Listing
	query := url.Values{
		"prefix": {prefix}, "after": {format(after)},
		"keys": {strconv.FormatBool(keysOnly)}, "wait": {c.Wait.String()},
	}
	err := c.do(ctx, call{method: http.MethodGet, path: "/watch", query: query, wait: c.Wait}, &listing)
	return listing, err
}

// do sends one call and decodes its answer into result unless that is nil.
func (c *client) do(ctx context.Context, call call, result any) error {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout+call.wait)
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
	response, err := c.http.Do(request)
	if err != nil {
		return lost(call.write() && connected.Load(), err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, int64(c.answerLimit)+1))
	if outcome, known := statuses[response.StatusCode]; !known || outcome != nil {
		return refused(call, response.StatusCode, body)
	}
	if err == nil && len(body) > c.answerLimit {
		err = errors.Errorf("answer above %d bytes", c.answerLimit)
	}
	if err == nil && result != nil {
		err = json.Unmarshal(body, result)
	}
	if err != nil {
		return lost(call.write(), err)
	}
	return nil
}

func (c *client) request(ctx context.Context, call call) (*http.Request, error) {
	var body io.Reader
	if call.body != nil {
		data, err := json.Marshal(call.body)
		if err != nil {
			return nil, errors.Wrap(err, "encode store call")
		}
		body = bytes.NewReader(data)
	}
	target := url.URL{Scheme: "http", Host: c.Address.String(), Path: call.path, RawQuery: call.query.Encode()}
	request, err := http.NewRequestWithContext(ctx, call.method, target.String(), body)
	if err != nil {
		return nil, errors.Wrap(err, "store call")
	}
	if c.Caller != "" {
		request.Header.Set(HeaderCaller, c.Caller)
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
func refused(call call, status int, body []byte) error {
	outcome, known := statuses[status]
	if !known {
		return lost(call.write(), errors.Errorf("status %d", status))
	}
	var problem struct {
		Error string `json:"error"`
	}
	_ = json.Unmarshal(body, &problem)
	return errors.Wrapf(outcome, "status %d %s", status, problem.Error)
}

func format(revision Revision) string { return strconv.FormatUint(uint64(revision), 10) }
