package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed wire.json
var wireJSON []byte

// wire maps short names to the names of headers, paths and fields on the wire.
var wire = func() map[string]string {
	names := map[string]string{}
	if err := json.Unmarshal(wireJSON, &names); err != nil {
		panic(err)
	}
	return names
}()
