package forwarder

import (
	"net/http"
	"net/textproto"
	"slices"
	"strings"
)

// hopByHop lists the headers that apply to a single connection. Expect is
// included because net/http answers it on the caller's connection.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// internalPrefix and a separator begin the names of internal headers.
const internalPrefix = "Sycamorerun"

// endToEndHeader returns a copy of header without hop-by-hop headers, the
// headers that Connection lists, and the headers with the internal prefix that
// the contract does not forward.
func (f *Forwarder) endToEndHeader(header http.Header) http.Header {
	connection := header["Connection"]
	kept := make(http.Header, len(header)+4)
	for name, values := range header {
		if isInternalHeader(name) && !f.Contract.forwards(name) || slices.Contains(hopByHop, name) {
			continue
		}
		kept[name] = values
	}
	for _, line := range connection {
		for name := range strings.SplitSeq(line, ",") {
			delete(kept, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	return kept
}

// isInternalHeader reports whether the name has the internal prefix. An underscore
// counts as a hyphen, since gateways such as CGI don't distinguish them: a caller
// could forge a header.
func isInternalHeader(name string) bool {
	const length = len(internalPrefix)
	return len(name) > length && (name[length] == '-' || name[length] == '_') && strings.EqualFold(name[:length], internalPrefix)
}

// headerSize returns the smallest size that header can have had on the wire, in bytes.
func headerSize(header http.Header) int {
	total := 0
	for name, values := range header {
		for _, value := range values {
			total += len(name) + len(value) + len(":\r\n")
		}
	}
	return total
}

// trailerNames returns the sorted names of the trailers that may be forwarded.
func trailerNames(trailer http.Header) []string {
	var names []string
	for name := range trailer {
		if !isInternalHeader(name) && !slices.Contains(hopByHop, name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func toFields(header http.Header) []*Field {
	fields := make([]*Field, 0, len(header))
	for name, values := range header {
		for _, value := range values {
			fields = append(fields, &Field{Name: name, Value: []byte(value)})
		}
	}
	return fields
}

func fromFields(fields []*Field) http.Header {
	header := make(http.Header, len(fields)+4)
	for _, field := range fields {
		header[field.GetName()] = append(header[field.GetName()], string(field.GetValue()))
	}
	return header
}

// emptyTrailer returns a header with names but no values. In this form net/http
// accepts trailers whose values follow the body.
func emptyTrailer(names []string) http.Header {
	if len(names) == 0 {
		return nil
	}
	header := make(http.Header, len(names))
	for _, name := range names {
		header[name] = nil
	}
	return header
}
