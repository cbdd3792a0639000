package requester

import (
	"net/http"
	"strings"

	"github.com/pkg/errors"
)

// valid checks what http.Request.Write writes as it is.
func valid(request *http.Request) error {
	if request.URL == nil {
		return errors.New("no URL")
	}
	if request.Method != "" && !token(request.Method) {
		return errors.Errorf("method %q", request.Method)
	}
	for _, header := range [...]http.Header{request.Header, request.Trailer} {
		for name, values := range header {
			if !token(name) {
				return errors.Errorf("header name %q", name)
			}
			for _, value := range values {
				if strings.ContainsFunc(value, control) {
					return errors.Errorf("value of header %s", name)
				}
			}
		}
	}
	return nil
}

// token reports whether text is a token of RFC 9110.
func token(text string) bool {
	for _, c := range []byte(text) {
		letter := 'a' <= c|0x20 && c|0x20 <= 'z'
		if !letter && (c < '0' || c > '9') && !strings.ContainsRune("!#$%&'*+-.^_`|~", rune(c)) {
			return false
		}
	}
	return text != ""
}

// control reports whether a header's value can't have r.
func control(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }
