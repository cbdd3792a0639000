package forwarder

import (
	"net/http"
	"net/textproto"
	"slices"
	"strings"
)

// hopByHop are the headers that concern one connection only. Expect is among
// them because net/http answers it on the caller's connection.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

const internalPrefix = "Sycamorerun-"

// clean returns a copy of header without hop-by-hop headers, the headers that
// Connection names, and the project's own headers.
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

func isInternalHeader(name string) bool {
	return len(name) >= len(internalPrefix) && strings.EqualFold(name[:len(internalPrefix)], internalPrefix)
}

// size returns the bytes of header on the wire.
func headerSize(header http.Header) int {
	total := 0
	for name, values := range header {
		for _, value := range values {
			total += len(name) + len(value) + len(": \r\n")
		}
	}
	return total
}

// announced returns the names of the trailers that may be passed on.
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

// blank returns a header with the names and no values, the form in which
// net/http takes trailers whose values follow the body.
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
