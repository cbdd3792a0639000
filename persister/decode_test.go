package persister

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// nesting returns the largest nesting of valid JSON.
func nesting(data []byte) int {
	depth, largest := 0, 0
	decoder := json.NewDecoder(strings.NewReader(string(data)))
	decoder.UseNumber()
	for {
		token, err := decoder.Token()
		if err != nil {
			return largest
		}
		switch token {
		case json.Delim('['), json.Delim('{'):
			depth++
			largest = max(largest, depth)
		case json.Delim(']'), json.Delim('}'):
			depth--
		}
	}
}

// Guards against a value that changes the values beside it when it is replaced, and
// against a response that isn't JSON and is decoded nevertheless.
func TestRepair(t *testing.T) {
	t.Parallel()
	cases := map[string]struct{ data, want string }{
		"none":             {``, ``},
		"scalar":           {`7`, `7`},
		"at the limit":     {`{"a":[1,[]]}`, `{"a":[1,null]}`},
		"within the limit": {`{"a":[1,2],"b":{}}`, `{"a":[1,2],"b":{}}`},
		"between others":   {`[1,[2,[3,[4]],5],6]`, `[1,[2,null,5],6]`},
		"several":          {`[[[],{},[]],[{"a":{}}]]`, `[[null,null,null],[null]]`},
		"brackets in text": {`[["[{\"[\\",[["]]"]]]]`, `[["[{\"[\\",null]]`},
		"cut":              {`[[[[`, `[[null`},
		"too many ends":    {`[]]]]`, `[]]]]`},
		"text after":       {`[[[]]]x`, `[[null]]x`},
		"valid scalars":    {`[[1e400,-0.5,true,false,null,"NaN"]]`, `[[1e400,-0.5,true,false,null,"NaN"]]`},
		"invalid scalars":  {`{"a":[Infinity,-Infinity , NaN],"b":1}`, `{"a":[false,false , false],"b":1}`},
		"outer scalars":    {`{"a":NaN}`, `{"a":NaN}`},
		"no JSON":          {`<html>`, `<html>`},
		"cut text":         {`[["a\`, `[["a\`},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(string(repair([]byte(c.data), 2)), c.want)
		})
	}
}

// Guards against a decoder that ends the process or runs out of stack at any
// nesting that fits into a response, or that accepts one that is cut.
func TestDecodeLargestNesting(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const depth = maxResponseBytes/2 - 100
	data := `{"objects":[{"key":"k","x":` + strings.Repeat("[", depth) + strings.Repeat("]", depth) + `}],"revision":3}`
	var listing Listing
	is.NoErr(decode([]byte(data), &listing))
	is.Equal(listing, Listing{Objects: []Object{{Key: "k"}}, Revision: 3})
	listing = Listing{}
	is.True(decode([]byte(data[:len(data)/2]), &listing) != nil)
	is.True(decode([]byte(data[:len(data)-4]), &listing) != nil)
	is.Equal(listing, Listing{})
}

// FuzzRepair guards against valid JSON that becomes invalid, is changed
// although it has few levels, or stays nested too deep.
func FuzzRepair(f *testing.F) {
	for _, seed := range []string{`[[[1],{"a":[]}],"[\"]"]`, `{"a":{"b":{"c":{"d":1e400}}}}`, `[[[[`, "\"\xff\\u005b\"", `{"a":1,"a":[[[[]]]]}`} {
		f.Add([]byte(seed), 2)
	}
	f.Fuzz(func(t *testing.T, data []byte, limit int) {
		limit = max(1, limit%100)
		repaired := repair(data, limit)
		if len(repaired) > 3*len(data)+len("null") {
			t.Fatalf("%d bytes from %d", len(repaired), len(data))
		}
		if !json.Valid(data) {
			return
		}
		largest := nesting(data)
		if largest <= limit && string(repaired) != string(data) {
			t.Fatalf("%q became %q", data, repaired)
		}
		if !json.Valid(repaired) || nesting(repaired) > limit {
			t.Fatalf("%q became %q", data, repaired)
		}
	})
}
