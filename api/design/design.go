// Package design defines the operators' API in the goa DSL.
package design

import (
	//revive:disable-next-line:dot-imports goa designs dot-import the DSL by convention.
	. "goa.design/goa/v3/dsl"
)

var _ = API("sycamorerun", func() {
	Title("Sycamorerun operators' API")
	Description("Changes and reads the settings tree and shows the fleet.")
	Version("1")
	Server("node", func() {
		Services("settings", "fleet", "upstream")
		Host("local", func() { URI("http://127.0.0.1:7070") })
	})
})

// operatorToken is the security scheme of an operator's bearer token.
var operatorToken = APIKeySecurity("token", func() {
	Description("Authorization: Bearer <token>")
})

// Problem is the body of every error response.
var Problem = Type("Problem", func() {
	ErrorName("name", String, "Error name", func() { Meta("struct:error:name") })
	Attribute("code", String, "Stable code of the error, such as wrong-team", func() { Example("wrong-team") })
	Attribute("reason", String, "Text for a person")
	Attribute("retry", Int64, "Milliseconds to wait before trying again, 0 when there is no use")
	Required("name", "code", "reason")
})

// faultType is a reason for the rejection of a settings file.
var faultType = Type("Fault", func() {
	Attribute("code", String, "Stable code, such as unknown-field")
	Attribute("path", String, "Where the fault is")
	Attribute("line", Int, "Line in the settings file, 0 when unknown")
	Attribute("reason", String, "What is wrong and what is allowed")
	Required("code", "path", "reason")
})

// Outcome is the result of a change.
var Outcome = ResultType("application/vnd.sycamorerun.outcome", func() {
	TypeName("Outcome")
	Attributes(func() {
		Attribute("id", String, "Id of the change")
		Attribute("status", String, func() { Enum("accepted", "pending", "refused", "conflict", "unknown") })
		Attribute("version", UInt64, "Version at which the change was accepted or with which it conflicts")
		Attribute("faults", ArrayOf(faultType))
		Attribute("retry", Int64, "Milliseconds to wait before asking again, for unknown")
		Required("id", "status")
	})
})

// Record is an item of the tree with its path.
var Record = Type("Record", func() {
	Attribute("path", String, "Path of the item", func() { Example("quoting/service/quote-desk") })
	Attribute("item", String, "Item as JSON")
	Required("path", "item")
})

// Difference is an item that differs between two trees.
var Difference = Type("Difference", func() {
	Attribute("path", String)
	Attribute("before", String, "Item before as JSON, absent when added")
	Attribute("after", String, "Item after as JSON, absent when removed")
	Required("path")
})

// Proposal is a change that is pending review.
var Proposal = Type("Proposal", func() {
	Attribute("id", String)
	Attribute("team", String)
	Attribute("operator", String)
	Attribute("content", String, "Hex SHA-256 of the proposed content; an approval names it")
	Attribute("time", String, func() { Format(FormatDateTime) })
	Attribute("differences", ArrayOf(Difference))
	Required("id", "team", "operator", "content", "time", "differences")
})

// Accepted is an accepted change in the history.
var Accepted = Type("Accepted", func() {
	Attribute("version", UInt64)
	Attribute("id", String)
	Attribute("team", String)
	Attribute("operator", String)
	Attribute("kind", String)
	Attribute("time", String, func() { Format(FormatDateTime) })
	Required("version", "id", "team", "operator", "kind", "time")
})

// authorized requires an operator's token for a service and declares the errors
// that its methods can return.
var authorized = func() {
	Security(operatorToken)
	Error("unauthorized", Problem, "The token is missing or not known")
	Error("forbidden", Problem, "The token's team does not own the subtree")
	Error("invalid", Problem, "The request is malformed")
	Error("unavailable", Problem, "The node can't answer now")
	Error("missing", Problem, "Nothing has that name")
}

// statuses maps the errors of authorized to HTTP status codes and the token to the
// Authorization header.
var statuses = func() {
	Response("unauthorized", StatusUnauthorized)
	Response("forbidden", StatusForbidden)
	Response("invalid", StatusBadRequest)
	Response("unavailable", StatusServiceUnavailable)
	Response("missing", StatusNotFound)
	Header("token:Authorization")
}

var _ = Service("settings", func() {
	Description("Reads and changes the settings tree.")
	authorized()
	Method("read", func() {
		Description("Returns the items in force at this node, of one team or of all.")
		Payload(func() {
			APIKey("token", "token", String)
			Attribute("team", String)
		})
		Result(func() {
			Attribute("version", UInt64)
			Attribute("hash", String, "Hex SHA-256 of the whole tree")
			Attribute("items", ArrayOf(Record))
			Required("version", "hash", "items")
		})
		HTTP(func() {
			GET("/v1/tree")
			Param("team")
			statuses()
		})
	})
	Method("submit", func() {
		Description("Submits a change. The same id submitted again returns the first outcome.")
		Payload(func() {
			APIKey("token", "token", String)
			Attribute("id", String, "UUID chosen by the client", func() { Format(FormatUUID) })
			Attribute("kind", String, func() {
				Enum("apply", "hold", "release", "revert", "approve", "reject")
			})
			Attribute("team", String, func() { Pattern("^[a-z0-9-]{1,63}$") })
			Attribute("base", UInt64, "Version that the change was made from; 0 skips the check")
			Attribute("settings", String, "Settings file, for apply", func() { MaxLength(4 << 20) })
			Attribute("reason", String, "Reason, for hold", func() { MaxLength(1024) })
			Attribute("until", String, "End of the hold", func() { Format(FormatDateTime) })
			Attribute("version", UInt64, "Version whose subtree returns, for revert")
			Attribute("proposal", String, "Id of the proposal, for approve and reject")
			Attribute("content", String, "Content hash of the reviewed proposal")
			Required("id", "kind", "team")
		})
		Result(Outcome)
		HTTP(func() {
			POST("/v1/changes")
			statuses()
		})
	})
	Method("outcome", func() {
		Description("Returns the outcome of a change by its id.")
		Payload(func() {
			APIKey("token", "token", String)
			Attribute("id", String, func() { Format(FormatUUID) })
			Required("id")
		})
		Result(Outcome)
		HTTP(func() {
			GET("/v1/changes/{id}")
			statuses()
		})
	})
	Method("check", func() {
		Description("Validates a settings file against the tree in force and compares; nothing is changed.")
		Payload(func() {
			APIKey("token", "token", String)
			Attribute("team", String, func() { Pattern("^[a-z0-9-]{1,63}$") })
			Attribute("settings", String, func() { MaxLength(4 << 20) })
			Required("team", "settings")
		})
		Result(func() {
			Attribute("version", UInt64)
			Attribute("faults", ArrayOf(faultType))
			Attribute("differences", ArrayOf(Difference))
			Required("version", "faults", "differences")
		})
		HTTP(func() {
			POST("/v1/checks")
			statuses()
		})
	})
	Method("proposals", func() {
		Description("Lists the changes of a team that wait for review.")
		Payload(func() {
			APIKey("token", "token", String)
			Attribute("team", String)
			Required("team")
		})
		Result(ArrayOf(Proposal))
		HTTP(func() {
			GET("/v1/proposals/{team}")
			statuses()
		})
	})
	Method("history", func() {
		Description("Lists the newest accepted changes, newest first, as far as the node or the store still has them.")
		Payload(func() {
			APIKey("token", "token", String)
			Attribute("team", String)
			Attribute("limit", Int, func() { Default(20); Minimum(1); Maximum(1024) })
		})
		Result(ArrayOf(Accepted))
		HTTP(func() {
			GET("/v1/history")
			Param("team")
			Param("limit")
			statuses()
		})
	})
})

// Member is an instance in this node's membership view.
var Member = Type("Member", func() {
	Attribute("name", String)
	Attribute("zone", String, "Availability zone")
	Attribute("region", String)
	Attribute("address", String)
	Attribute("service", String)
	Attribute("state", String)
	Attribute("slots", Int)
	Attribute("suspect", Boolean)
	Required("name", "zone", "region", "address", "service", "state", "slots", "suspect")
})

// Tally is the number of nodes that have a certain version in force.
var Tally = Type("Tally", func() {
	Attribute("version", UInt64)
	Attribute("nodes", Int)
	Required("version", "nodes")
})

// Laggard is a node that is behind the newest version.
var Laggard = Type("Laggard", func() {
	Attribute("name", String)
	Attribute("version", UInt64)
	Attribute("since", String, "Since when it has been behind", func() { Format(FormatDateTime) })
	Attribute("fault", String, "Why it refused a version, when it did")
	Required("name", "version", "since")
})

// Target is a service in a route's traffic split.
var Target = Type("Target", func() {
	Attribute("service", String)
	Attribute("share", Float64, "Part of the route's calls, 0 to 1")
	Attribute("upstreams", Int, "Upstreams that take calls, as this node sees them")
	Required("service", "share", "upstreams")
})

// RouteState is the availability of the upstreams of a route's services.
var RouteState = Type("RouteState", func() {
	Attribute("route", String, "Path of the route")
	Attribute("state", String, "served, partial (a service of the split has no upstream) or unserved (none has one)")
	Attribute("since", String, "Since when the route is not served", func() { Format(FormatDateTime) })
	Attribute("targets", ArrayOf(Target))
	Required("route", "state", "targets")
})

// Account is a client account.
var Account = Type("Account", func() {
	Attribute("name", String)
	Attribute("label", String, "Name for upstreams, if it differs")
	Attribute("rank", Int, "Priority of its calls, 1 first; absent if the routes' applies")
	Attribute("rate", Float64, "Requests a second that all nodes together admit; absent if there is no limit")
	Attribute("burst", Float64, "Requests beyond the rate that they admit at once")
	Attribute("keys", Int, "Number of keys")
	Required("name", "keys")
})

// Candidate is an upstream to which a call could be sent.
var Candidate = Type("Candidate", func() {
	Attribute("instance", String)
	Attribute("zone", String)
	Attribute("state", String)
	Attribute("chance", Float64, "Chance to be picked now, 0 to 1")
	Attribute("reason", String, "Why it is or is not a candidate")
	Required("instance", "zone", "state", "chance", "reason")
})

var _ = Service("fleet", func() {
	Description("Shows the node, its peers and the convergence of the fleet.")
	authorized()
	Method("status", func() {
		Description("Returns the node's own state.")
		Payload(func() { APIKey("token", "token", String) })
		Result(func() {
			Attribute("name", String)
			Attribute("zone", String)
			Attribute("region", String)
			Attribute("phase", String, func() { Enum("starting", "ready", "draining", "stopped") })
			Attribute("version", UInt64)
			Attribute("hash", String)
			Attribute("refused", UInt64, "Versions refused since the start")
			Attribute("fault", String, "Why the last version was refused")
			Attribute("sessions", Int, "Open peer sessions")
			Attribute("members", Int, "Live members known")
			Attribute("watching", Boolean, "Whether the node watches the store")
			Attribute("unserved", Int, "Routes whose calls all end with no-upstream")
			Attribute("partial", Int, "Routes of which a part of the calls ends with no-upstream")
			Required("name", "zone", "region", "phase", "version", "hash", "refused", "sessions", "members", "watching")
		})
		HTTP(func() {
			GET("/v1/status")
			statuses()
		})
	})
	Method("members", func() {
		Description("Lists the instances that this node knows.")
		Payload(func() { APIKey("token", "token", String) })
		Result(ArrayOf(Member))
		HTTP(func() {
			GET("/v1/members")
			statuses()
		})
	})
	Method("routes", func() {
		Description("Lists the routes in force and whether their services have upstreams.")
		Payload(func() {
			APIKey("token", "token", String)
			Attribute("team", String)
		})
		Result(ArrayOf(RouteState))
		HTTP(func() {
			GET("/v1/routes")
			Param("team")
			statuses()
		})
	})
	Method("accounts", func() {
		Description("Lists the client accounts in force. Keys are only counted.")
		Payload(func() { APIKey("token", "token", String) })
		Result(ArrayOf(Account))
		HTTP(func() {
			GET("/v1/accounts")
			statuses()
		})
	})
	Method("convergence", func() {
		Description("Asks the fleet which versions are in force where.")
		Payload(func() { APIKey("token", "token", String) })
		Result(func() {
			Attribute("newest", UInt64)
			Attribute("nodes", Int, "Nodes that answered")
			Attribute("silent", Int, "Live members that did not answer")
			Attribute("tallies", ArrayOf(Tally))
			Attribute("laggards", ArrayOf(Laggard))
			Required("newest", "nodes", "silent", "tallies", "laggards")
		})
		HTTP(func() {
			GET("/v1/convergence")
			statuses()
		})
	})
	Method("explain", func() {
		Description("Says which route and upstream a request would take and why.")
		Payload(func() {
			APIKey("token", "token", String)
			Attribute("method", String, func() { Default("GET") })
			Attribute("host", String)
			Attribute("path", String)
			Attribute("headers", MapOf(String, String))
			Required("host", "path")
		})
		Result(func() {
			Attribute("version", UInt64)
			Attribute("route", String, "Path of the route, empty when none matches")
			Attribute("class", String)
			Attribute("repeatable", Boolean)
			Attribute("steps", ArrayOf(String), "What was compared, in order")
			Attribute("candidates", ArrayOf(Candidate))
			Attribute("state", RouteState, "Whether the services of the route have upstreams")
			Required("version", "route", "steps", "candidates")
		})
		HTTP(func() {
			POST("/v1/explanations")
			statuses()
		})
	})
})

var _ = Service("upstream", func() {
	Description("Takes the announcements of the upstream beside the node; served on loopback only.")
	Error("invalid", Problem)
	Method("announce", func() {
		Description("Announces the upstream; repeated every second, it lapses after 5 s.")
		Payload(func() {
			Attribute("service", String, func() { Pattern("^[a-z0-9-]{1,63}$") })
			Attribute("address", String, "IP and port of the upstream", func() { Example("127.0.0.1:9000") })
			Attribute("state", String, func() { Enum("cold", "ready", "draining", "left") })
			Attribute("slots", Int, func() { Minimum(1); Maximum(1024) })
			Required("service", "address", "state", "slots")
		})
		HTTP(func() {
			PUT("/v1/announcement")
			Response(StatusNoContent)
			Response("invalid", StatusBadRequest)
		})
	})
})
