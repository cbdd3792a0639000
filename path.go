package sycamorerun

import "strings"

// AdminTeam is the name of the administrators' team, which owns the list of
// teams and the limits.
const AdminTeam = "admin"

// Item kinds. The kind is the second element of a path.
const (
	KindTeam    = "team"
	KindHold    = "hold"
	KindService = "service"
	KindRoute   = "route"
	KindLimits  = "limits"
	KindAccount = "account"
	KindRollout = "rollout"
)

// LimitsPath is the path of the limits for callers. The administrators own them,
// since a node applies the limits before it knows which team a request is for.
const LimitsPath Path = AdminTeam + "/" + KindLimits

// Path identifies an item of the tree: "<team>/<kind>/<name>", "<team>/hold" or
// "admin/limits".
type Path string

// NewPath returns the path with the given elements.
func NewPath(team, kind, name string) Path {
	if kind == KindHold || kind == KindLimits {
		return Path(team + "/" + kind)
	}
	return Path(team + "/" + kind + "/" + name)
}

// Split returns the elements of p. The name is empty for a hold and for the
// limits.
func (p Path) Split() (team, kind, name string) {
	team, rest, _ := strings.Cut(string(p), "/")
	kind, name, _ = strings.Cut(rest, "/")
	return team, kind, name
}

// Team returns the name of the team that owns the item.
func (p Path) Team() string {
	team, _, _ := p.Split()
	return team
}
