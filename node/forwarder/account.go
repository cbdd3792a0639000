package forwarder

import (
	"net/http"
	"slices"
	"time"
)

const headerAuthorization = "Authorization"

// admitAccount returns the failure of a request that lacks a known key or that is
// beyond the quota of its account, or nil.
func (f *Forwarder) admitAccount(now time.Time, match Match) *failure {
	switch {
	case match.Access == AccessDenied:
		return notRun(reasonUnauthorized)
	case !match.Metered:
		return nil
	}
	if retryAfter, ok := f.Charge(now, match.Account); !ok {
		failed := notRun(reasonQuota)
		failed.retryAfter = retryAfter
		return failed
	}
	return nil
}

// replaceCredentials replaces the caller's key in the header for the upstream by
// the name of its account. It does nothing if the configuration has no accounts.
func (f *Forwarder) replaceCredentials(c *call, received http.Header) {
	if c.match.Access == AccessOpen {
		return
	}
	c.credentials = received[headerAuthorization]
	delete(c.header, headerAuthorization)
	c.trailers = slices.DeleteFunc(c.trailers, func(name string) bool { return name == headerAuthorization })
	if f.Contract.Account == "" {
		return
	}
	c.header.Del(f.Contract.Account)
	if c.match.Label != "" {
		c.header.Set(f.Contract.Account, c.match.Label)
	}
}
