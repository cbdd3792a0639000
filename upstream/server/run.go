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

// maxRun bounds the body of a request to /run and that of its response.
const maxRun = 64 << 20

// Body returns the body of the attempt with an id: the id, a line feed, and a
// pattern up to size bytes.
func Body(id string, size int) []byte {
	body := append([]byte(id), '\n')
	for len(body) < size {
		body = append(body, id[len(body)%len(id)])
	}
	return body
}

// Answer returns the response to the attempt with an id whose body was
// received: a line with the id and the body's hash, and a pattern up to size
// bytes.
func Answer(id string, received []byte, size int) []byte {
	sum := sha256.Sum256(received)
	return Body(id+" "+hex.EncodeToString(sum[:]), size)
}

// Confirm records that the node confirmed a state of the upstream.
func (s *Server) Confirm(state sycamorerun.State) {
	s.confirmed.Lock()
	defer s.confirmed.Unlock()
	leaves := state == sycamorerun.StateDraining || state == sycamorerun.StateLeft
	switch {
	case leaves && !s.left:
		s.Recorder.LogEvent(s.Now(), recorder.StepLeave, "")
	case !leaves && s.left:
		s.Recorder.LogEvent(s.Now(), recorder.StepReady, "")
	}
	s.left = leaves
}

// note writes an event of a request; requests without an id have none.
func (s *Server) note(step recorder.Step, id string) {
	if identifies(id) {
		s.Recorder.LogEvent(s.Now(), step, id)
	}
}

// identifies reports whether an id can stand in a line of the journal.
func identifies(id string) bool {
	return id != "" && !strings.ContainsAny(id, " \n")
}

// run executes a request with an id in its header and body, for the time
// "for", and answers with a body of "size" bytes. "bytes" is the length of the
// request's body. Start and end are in the journal.
func (s *Server) run(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	id := r.Header.Get(HeaderCall)
	size, err := strconv.Atoi(query.Get("size"))
	if err != nil || size < 0 || size > maxRun || !identifies(id) {
		http.Error(w, "size from 0 to 67108864 and an id are needed", http.StatusBadRequest)
		return
	}
	received, err := io.ReadAll(io.LimitReader(r.Body, maxRun))
	if err != nil {
		s.Recorder.Break()
		panic(http.ErrAbortHandler)
	}
	length, err := strconv.Atoi(query.Get("bytes"))
	if err != nil || length > maxRun || !bytes.Equal(received, Body(id, length)) {
		s.note(recorder.StepDamage, id)
		http.Error(w, "the body is not that of the request", http.StatusBadRequest)
		return
	}
	s.execute(w, r, id, Answer(id, received, size))
}

// execute runs a request and sends its response.
func (s *Server) execute(w http.ResponseWriter, r *http.Request, id string, answer []byte) {
	work, _ := time.ParseDuration(r.URL.Query().Get("for")) // No work if there is none.
	s.note(recorder.StepStart, id)
	end := recorder.StepBreak
	defer func() { s.note(end, id) }()
	if !s.wait(r.Context(), s.slowed(min(work, maxSlow))) {
		expired(w)
		return
	}
	w.Header().Set(HeaderCall, id)
	w.Header().Set(HeaderReceivedDeadline, r.Header.Get(sycamorerun.HeaderDeadline))
	end = recorder.StepEnd
	if fault := s.fault(id); fault != nil {
		fault(w, r, answer)
		return
	}
	if _, err := w.Write(answer); err != nil {
		end = recorder.StepBreak
		panic(http.ErrAbortHandler)
	}
}
