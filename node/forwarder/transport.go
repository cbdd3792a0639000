package forwarder

import (
	"net/netip"

	"sycamorerun/node/requester"
)

// Transport returns a requester for the upstream at address that opens at most
// the given number of connections and checks responses against the contract.
func Transport(address netip.AddrPort, connections int, contract Contract) *requester.Requester {
	transport := requester.New(address, connections)
	transport.Contract = requester.Contract{
		Identity: contract.Identity, Request: contract.Request, Unexecuted: contract.Unexecuted, Signature: contract.Signature,
	}
	return transport
}
