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
	c := &client{ClientConfig: config, listLimit: listLimit}
	if c.Timeout <= 0 {
		c.Timeout = DefaultTimeout
	}
	if c.Wait <= 0 {
		c.Wait = DefaultWait
	}
	dialer := &net.Dialer{Timeout: c.Timeout, KeepAlive: probe}
	c.caller = HTTPClient{Address: c.Address, MaxResponseBytes: answerLimit, HTTP: &http.Client{
		Transport: &http.Transport{
			DialContext:            dialer.DialContext,
			MaxIdleConnsPerHost:    idleConns,
			IdleConnTimeout:        idle,
			MaxResponseHeaderBytes: headBytes,
			DisableCompression:     true,
		},
		// A redirected write might be executed twice.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
	if c.Caller != "" {
		c.caller.Header = http.Header{HeaderCaller: {c.Caller}}
	}
	return Store{Get: c.get, List: c.list, Put: c.put, Delete: c.delete, Watch: c.watch}
}

type client struct {
	ClientConfig
	listLimit int
	caller    HTTPClient
}

func (c *client) get(ctx context.Context, key string) (Object, error) {
	var object Object
	err := c.do(ctx, Call{Method: http.MethodGet, Path: "/object", Query: url.Values{"key": {key}}}, 0, &object)
	if err == nil && object.Key != key {
		return Object{}, errors.Wrapf(ErrUnavailable, "answer for key %q instead of %q", object.Key, key)
	}
	return object, err
}

func (c *client) put(ctx context.Context, key string, value []byte, expected Revision) (Revision, error) {
	var object Object
	err := c.do(ctx, Call{
		Method: http.MethodPut, Path: "/object",
		Query: url.Values{"key": {key}, "expected": {format(expected)}},
		Body:  Object{Value: value},
	}, 0, &object)
	if err == nil && object.Revision == 0 {
		return 0, errors.Wrap(ErrUnknown, "answer without a revision")
	}
	return object.Revision, err
}

func (c *client) delete(ctx context.Context, key string, expected Revision) error {
	query := url.Values{"key": {key}, "expected": {format(expected)}}
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
		query := url.Values{"prefix": {prefix}, "after": {format(after)}}
		if err := c.do(ctx, Call{Method: http.MethodGet, Path: "/list", Query: query}, 0, &page); err != nil {
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
	err := c.do(ctx, Call{Method: http.MethodGet, Path: "/watch", Query: query}, c.Wait, &listing)
	return listing, err
}

// do makes one call, which waits at the store for up to wait.
func (c *client) do(ctx context.Context, call Call, wait time.Duration, result any) error {
	call.Timeout = c.Timeout + wait
	return c.caller.Do(ctx, call, result)
}

func format(revision Revision) string { return strconv.FormatUint(uint64(revision), 10) }
