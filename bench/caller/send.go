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

// notRunStatuses say that a request has not run, also without the header.
var notRunStatuses = map[int]bool{
	http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true,
	http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true,
}

// try makes one attempt and returns the time after which the next one may
// follow.
func (c *Generator) try(ctx context.Context, kind Kind, entry Entry, record *Record, n int, leave time.Duration) (attempt Attempt, after time.Duration) {
	attempt = Attempt{
		ID: fmt.Sprintf("%s.%d", record.ID, n), Node: entry.Name, Start: time.Now(),
		Limit: kind.limit(), Result: sycamorerun.Unknown,
	}
	if kind.Key {
		attempt.ID = record.ID // A key stands for one body only.
	}
	defer func() { attempt.End = time.Now() }()
	wait := attempt.Limit + patience
	if attempt.Limit == 0 {
		wait = limitless
	}
	leaves := leave > 0 && n == 0 && leave < wait
	if leaves {
		wait = leave
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	body := server.Body(attempt.ID, kind.Body)
	response, err := c.client.Do(build(ctx, kind, entry, record.ID, attempt.ID, body))
	if err != nil {
		attempt.Reason, attempt.Disconnected = err.Error(), leaves && ctx.Err() != nil
		return attempt, pause
	}
	defer response.Body.Close()
	wanted := server.Answer(attempt.ID, body, kind.Response)
	// One byte more than the response should have shows a surplus.
	received, err := io.ReadAll(io.LimitReader(response.Body, int64(len(wanted))+1))
	attempt.Status = response.StatusCode
	if err != nil {
		// A response that visibly breaks off is no response.
		attempt.Reason, attempt.Disconnected = err.Error(), leaves && ctx.Err() != nil
		return attempt, pause
	}
	attempt.Result = resultOf(response)
	attempt.Reason = response.Header.Get(sycamorerun.HeaderReason)
	attempt.Whole = attempt.Answered() && response.Header.Get(server.HeaderCall) == attempt.ID && bytes.Equal(received, wanted)
	if left, err := strconv.Atoi(response.Header.Get(server.HeaderLeft)); err == nil && kind.Marker && attempt.Whole {
		attempt.Version = versionOf(left)
	}
	return attempt, retryAfter(response)
}

// build returns the request of an attempt. http.Transport repeats no request
// with a body that it can't get again, which would hide an attempt.
func build(ctx context.Context, kind Kind, entry Entry, record, id string, body []byte) *http.Request {
	request, err := http.NewRequestWithContext(ctx, kind.method(), "http://"+entry.Address.String()+kind.target(len(body)), bytes.NewReader(body))
	if err != nil {
		panic(err) // The kind has a method or a path that is no such.
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
		// http.Transport repeats a request with the canonical name by itself.
		request.Header[strings.ToLower(sycamorerun.HeaderKey)] = []string{record}
	}
	return request
}

// resultOf returns what a complete response says.
func resultOf(response *http.Response) sycamorerun.Result {
	told := sycamorerun.Result(response.Header.Get(sycamorerun.HeaderOutcome))
	switch {
	case notRunStatuses[response.StatusCode] && (told == "" || told == sycamorerun.Answered):
		return sycamorerun.NotRun
	case told != "":
		return told
	case response.StatusCode < http.StatusInternalServerError:
		return sycamorerun.Answered
	}
	return sycamorerun.Unknown
}

// retryAfter returns the time that a response states, in seconds with
// fractions.
func retryAfter(response *http.Response) time.Duration {
	seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	if err != nil || seconds < 0 || seconds > time.Minute.Seconds() {
		return pause
	}
	return time.Duration(seconds * float64(time.Second))
}
