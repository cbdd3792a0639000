package caller

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"sycamorerun"
	"sycamorerun/upstream/server"
)

// notRunStatuses are the statuses that mean that a request was not executed, also
// without the outcome header.
var notRunStatuses = map[int]bool{
	http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true,
	http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true,
}

// sendAttempt sends one attempt and returns its result and the delay before a
// retry.
func (c *Generator) sendAttempt(ctx context.Context, kind Kind, entry Entry, record *Record, n int, disconnectAfter time.Duration) (attempt Attempt, retryDelay time.Duration) {
	attempt = Attempt{
		ID: fmt.Sprintf("%s.%d", record.ID, n), Node: entry.Name, Start: time.Now(),
		Limit: kind.limit(), Result: sycamorerun.Unknown,
	}
	if kind.Key {
		attempt.ID = record.ID // All requests with a key must have the same body.
	}
	defer func() { attempt.End = time.Now() }()
	wait := attempt.Limit + responseGrace
	if attempt.Limit == 0 {
		wait = defaultWait
	}
	disconnects := disconnectAfter > 0 && n == 0 && disconnectAfter < wait
	if disconnects {
		wait = disconnectAfter
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	body := server.Body(attempt.ID, kind.Body)
	response, err := c.client.Do(newRequest(ctx, kind, entry, record.ID, attempt.ID, body))
	if err != nil {
		attempt.Reason, attempt.Disconnected = err.Error(), disconnects && ctx.Err() != nil
		return attempt, defaultRetryDelay
	}
	defer response.Body.Close()
	expected := server.Answer(attempt.ID, body, kind.Response)
	// The limit is one byte more than the expected response, so that surplus data is
	// detected.
	received, err := io.ReadAll(io.LimitReader(response.Body, int64(len(expected))+1))
	attempt.Status = response.StatusCode
	if err != nil {
		// A response with a truncated body has no status-based result; it stays Unknown.
		attempt.Reason, attempt.Disconnected = err.Error(), disconnects && ctx.Err() != nil
		return attempt, defaultRetryDelay
	}
	attempt.Result = resultOf(response)
	attempt.Reason = response.Header.Get(sycamorerun.HeaderReason)
	attempt.Whole = attempt.Answered() && response.Header.Get(server.HeaderCall) == attempt.ID && bytes.Equal(received, expected)
	if left, err := strconv.Atoi(response.Header.Get(server.HeaderReceivedDeadline)); err == nil && kind.Marker && attempt.Whole {
		attempt.Version = versionOf(left)
	}
	return attempt, retryAfter(response)
}

// newRequest returns the HTTP request of an attempt. It has no GetBody, so that
// http.Transport can't resend it and hide an attempt.
func newRequest(ctx context.Context, kind Kind, entry Entry, record, id string, body []byte) *http.Request {
	request, err := http.NewRequestWithContext(ctx, kind.method(), "http://"+entry.Address.String()+kind.target(len(body)), bytes.NewReader(body))
	if err != nil {
		panic(err) // The method or the path of the kind is invalid.
	}
	request.Host, request.GetBody = kind.Host, nil
	if kind.Chunked {
		request.ContentLength = -1
	}
	request.Header.Set(server.HeaderCall, id)
	if kind.Deadline > 0 && !kind.Marker {
		request.Header.Set(sycamorerun.HeaderDeadline, strconv.FormatInt(kind.Deadline.Milliseconds(), 10))
	}
	if kind.Key {
		// With the canonical header name, http.Transport would resend the request after
		// a connection failure.
		request.Header[strings.ToLower(sycamorerun.HeaderKey)] = []string{record}
	}
	return request
}

// resultOf returns the result that a complete response reports.
func resultOf(response *http.Response) sycamorerun.Result {
	reported := sycamorerun.Result(response.Header.Get(sycamorerun.HeaderOutcome))
	switch {
	case notRunStatuses[response.StatusCode] && (reported == "" || reported == sycamorerun.Answered):
		return sycamorerun.NotRun
	case reported != "":
		return reported
	case response.StatusCode < http.StatusInternalServerError:
		return sycamorerun.Answered
	}
	return sycamorerun.Unknown
}

// retryAfter returns the delay of the Retry-After header, which is in seconds and
// may have a fraction, or defaultRetryDelay without a valid one.
func retryAfter(response *http.Response) time.Duration {
	seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	if err != nil || seconds < 0 || seconds > time.Minute.Seconds() {
		return defaultRetryDelay
	}
	return time.Duration(seconds * float64(time.Second))
}
