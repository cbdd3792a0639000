package persister

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// HeaderCaller is the header that identifies the caller in the store's statistics.
const HeaderCaller = "Sycamorerun-Caller"

// Defaults and limits of the store client.
const (
	// DefaultTimeout limits the wait for the response to one call, not counting the
	// time that a watch waits.
	DefaultTimeout = 3 * time.Second
	// DefaultWait limits how long a watch waits for writes. It is short because
	// a connection without traffic is only detected as dead when both the wait
	// and the timeout are over.
	DefaultWait = 3 * time.Second
	// maxResponseBytes exceeds the size of a page of a list or a watch: up to
	// 4 MiB of keys and values, which are 5.4 MiB in base64.
	maxResponseBytes = 8 << 20
	// maxListBytes limits the total size of the values of a list with all its
	// pages.
	maxListBytes    = 32 << 20
	maxHeaderBytes  = 16 << 10
	idleTimeout     = 30 * time.Second
	keepAlivePeriod = 5 * time.Second
	maxIdleConns    = 4
)

// ClientConfig configures a store client.
type ClientConfig struct {
	Address netip.AddrPort
	// Caller is the value of HeaderCaller, which is left out if Caller is empty.
	Caller string
	// Timeout and Wait default to DefaultTimeout and DefaultWait.
	Timeout time.Duration
	Wait    time.Duration
}

// NewClient returns a store that is accessed over HTTP with JSON.
func NewClient(config ClientConfig) Store {
	return newClient(config, maxResponseBytes, maxListBytes)
}

func newClient(config ClientConfig, responseLimit, listLimit int) Store {
	c := &client{ClientConfig: config, listLimit: listLimit}
	if c.Timeout <= 0 {
		c.Timeout = DefaultTimeout
	}
	if c.Wait <= 0 {
		c.Wait = DefaultWait
	}
	dialer := &net.Dialer{Timeout: c.Timeout, KeepAlive: keepAlivePeriod}
	c.httpClient = HTTPClient{Address: c.Address, MaxResponseBytes: responseLimit, HTTP: &http.Client{
		Transport: &http.Transport{
			DialContext:            dialer.DialContext,
			MaxIdleConnsPerHost:    maxIdleConns,
			IdleConnTimeout:        idleTimeout,
			MaxResponseHeaderBytes: maxHeaderBytes,
			DisableCompression:     true,
		},
		// A redirected write might be executed twice.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
	if c.Caller != "" {
		c.httpClient.Header = http.Header{HeaderCaller: {c.Caller}}
	}
	return Store{Get: c.get, List: c.list, Put: c.put, Delete: c.delete, Watch: c.watch}
}

type client struct {
	ClientConfig
	listLimit  int
	httpClient HTTPClient
}

func (c *client) get(ctx context.Context, key string) (Object, error) {
	var object Object
	err := c.do(ctx, Call{Method: http.MethodGet, Path: "/object", Query: url.Values{"key": {key}}}, 0, &object)
	if err == nil && object.Key != key {
		return Object{}, errors.Wrapf(ErrUnavailable, "response is for key %q instead of %q", object.Key, key)
	}
	return object, err
}

func (c *client) put(ctx context.Context, key string, value []byte, expected Revision) (Revision, error) {
	var object Object
	err := c.do(ctx, Call{
		Method: http.MethodPut, Path: "/object",
		Query: url.Values{"key": {key}, "expected": {formatRevision(expected)}},
		Body:  Object{Value: value},
	}, 0, &object)
	if err == nil && object.Revision == 0 {
		return 0, errors.Wrap(ErrUnknown, "response has no revision")
	}
	return object.Revision, err
}

func (c *client) delete(ctx context.Context, key string, expected Revision) error {
	query := url.Values{"key": {key}, "expected": {formatRevision(expected)}}
	return c.do(ctx, Call{Method: http.MethodDelete, Path: "/object", Query: query}, 0, nil)
}

func (c *client) list(ctx context.Context, prefix string, after Revision) (Listing, error) {
	var all Listing
	size := 0
	for {
		var page struct {
			Listing
			More bool `json:"more"`
		}
		query := url.Values{"prefix": {prefix}, "after": {formatRevision(after)}}
		if err := c.do(ctx, Call{Method: http.MethodGet, Path: "/list", Query: query}, 0, &page); err != nil {
			return Listing{}, err
		}
		for _, object := range page.Objects {
			size += len(object.Value)
		}
		if size > c.listLimit {
			return Listing{}, errors.Wrapf(ErrTooLarge, "list of %s exceeds %d bytes", prefix, c.listLimit)
		}
		all.Objects, all.Revision = append(all.Objects, page.Objects...), page.Revision
		if !page.More {
			return all, nil
		}
		if page.Revision <= after {
			return Listing{}, errors.Wrap(ErrUnavailable, "list page does not advance the revision")
		}
		after = page.Revision
	}
}

func (c *client) watch(ctx context.Context, prefix string, after Revision, keysOnly bool) (Listing, error) {
	var listing Listing
	query := url.Values{
		"prefix": {prefix}, "after": {formatRevision(after)},
		"keys": {strconv.FormatBool(keysOnly)}, "wait": {c.Wait.String()},
	}
	err := c.do(ctx, Call{Method: http.MethodGet, Path: "/watch", Query: query}, c.Wait, &listing)
	return listing, err
}

// do sends a call that the store may delay by up to wait.
func (c *client) do(ctx context.Context, call Call, wait time.Duration, result any) error {
	call.Timeout = c.Timeout + wait
	_, err := c.httpClient.Do(ctx, call, result)
	return err
}

func formatRevision(revision Revision) string { return strconv.FormatUint(uint64(revision), 10) }
