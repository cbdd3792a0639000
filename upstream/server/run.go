package server

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"sycamorerun"
	"sycamorerun/upstream/recorder"
)

// maxRunBytes bounds the bodies of a request to /run and of its response.
const maxRunBytes = 64 << 20

// Body returns the body of the attempt with an id: the id, a line feed, and a
// pattern that fills it up to size bytes.
func Body(id string, size int) []byte {
	body := append([]byte(id), '\n')
	for len(body) < size {
		body = append(body, id[len(body)%len(id)])
	}
	return body
}

// Answer returns the response to the attempt with an id: a line with the id and
// the hash of the received body, and a pattern that fills it up to size bytes.
func Answer(id string, received []byte, size int) []byte {
	sum := sha256.Sum256(received)
	return Body(id+" "+hex.EncodeToString(sum[:]), size)
}

// OnStateConfirmed records that the node confirmed a state of the upstream.
func (s *Server) OnStateConfirmed(state sycamorerun.State) {
	s.stateMutex.Lock()
	defer s.stateMutex.Unlock()
	leaving := state == sycamorerun.StateDraining || state == sycamorerun.StateLeft
	switch {
	case leaving && !s.leaving:
		s.Recorder.LogEvent(s.Now(), recorder.StepLeave, "")
	case !leaving && s.leaving:
		s.Recorder.LogEvent(s.Now(), recorder.StepReady, "")
	}
	s.leaving = leaving
}

// logEvent writes an event of a request to the journal, unless the id is invalid.
func (s *Server) logEvent(step recorder.Step, id string) {
	if validID(id) {
		s.Recorder.LogEvent(s.Now(), step, id)
	}
}

// validID reports whether an id can be written to a line of the journal.
func validID(id string) bool {
	return id != "" && !strings.ContainsAny(id, " \n")
}

// run serves a request with an id in its header and body. The query parameter
// "for" is the duration of the execution, "size" the length of the response's
// body and "bytes" the length of the request's body. The journal has the start
// and the end.
func (s *Server) run(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	id := r.Header.Get(HeaderCall)
	size, err := strconv.Atoi(query.Get("size"))
	if err != nil || size < 0 || size > maxRunBytes || !validID(id) {
		http.Error(w, "size from 0 to 67108864 and an id are needed", http.StatusBadRequest)
		return
	}
	received, err := io.ReadAll(io.LimitReader(r.Body, maxRunBytes))
	if err != nil {
		s.Recorder.RecordBrokenUpload()
		panic(http.ErrAbortHandler)
	}
	length, err := strconv.Atoi(query.Get("bytes"))
	if err != nil || length > maxRunBytes || !bytes.Equal(received, Body(id, length)) {
		s.logEvent(recorder.StepDamage, id)
		http.Error(w, "the body is not that of the request", http.StatusBadRequest)
		return
	}
	s.execute(w, r, id, Answer(id, received, size))
}

// execute executes a request and sends its response or a fault.
func (s *Server) execute(w http.ResponseWriter, r *http.Request, id string, answer []byte) {
	work, _ := time.ParseDuration(r.URL.Query().Get("for")) // A missing duration means zero.
	s.logEvent(recorder.StepStart, id)
	lastStep := recorder.StepBreak
	defer func() { s.logEvent(lastStep, id) }()
	if !s.sleep(r.Context(), s.withSlowdown(min(work, maxWork))) {
		writeExpired(w)
		return
	}
	w.Header().Set(HeaderCall, id)
	w.Header().Set(HeaderReceivedDeadline, r.Header.Get(sycamorerun.HeaderDeadline))
	lastStep = recorder.StepEnd
	if fault := s.selectFault(id); fault != nil {
		fault(w, r, answer)
		return
	}
	if _, err := w.Write(answer); err != nil {
		lastStep = recorder.StepBreak
		panic(http.ErrAbortHandler)
	}
}
