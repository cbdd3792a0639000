package requester

import (
	"net/http"
	"strings"

	"github.com/pkg/errors"
)

// validate checks the parts of a request that http.Request.Write writes verbatim.
func validate(request *http.Request) error {
	if request.URL == nil {
		return errors.New("request has no URL")
	}
	if request.Method != "" && !isToken(request.Method) {
		return errors.Errorf("invalid method %q", request.Method)
	}
	for _, header := range [...]http.Header{request.Header, request.Trailer} {
		for name, values := range header {
			if !isToken(name) {
				return errors.Errorf("invalid header name %q", name)
			}
			for _, value := range values {
				if strings.ContainsFunc(value, isControl) {
					return errors.Errorf("invalid character in the value of header %s", name)
				}
			}
		}
	}
	return nil
}

// isToken reports whether text is a token as defined by RFC 9110.
func isToken(text string) bool {
	for _, c := range []byte(text) {
		letter := 'a' <= c|0x20 && c|0x20 <= 'z'
		if !letter && (c < '0' || c > '9') && !strings.ContainsRune("!#$%&'*+-.^_`|~", rune(c)) {
			return false
		}
	}
	return text != ""
}

// isControl reports whether r is not allowed in a header value.
func isControl(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }
