package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed wire.json
var wireFile []byte

// wire holds the names of the users' platform and the first configuration.
var wire struct {
	RequestID, Deadline, Caller, Target, Unexecuted, Signature, InstanceID, Load string
	Objects, Instances, StoreRevision, HasMore, WaitMs, ColdLeft                 string
	Document                                                                     json.RawMessage
}

func init() {
	if err := json.Unmarshal(wireFile, &wire); err != nil {
		panic(err)
	}
}
