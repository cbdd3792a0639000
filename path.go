package sycamorerun

import "strings"

// AdminTeam is the team that owns the list of teams.
const AdminTeam = "admin"

// Item kinds, the second element of a path.
const (
	KindTeam    = "team"
	KindHold    = "hold"
	KindService = "service"
	KindRoute   = "route"
	KindLimits  = "limits"
)

// LimitsPath is the path of the limits for callers. The administrators own
// them, since a node applies them before it knows a request's team.
const LimitsPath Path = AdminTeam + "/" + KindLimits

// Path names an item of the tree: "<team>/<kind>/<name>", "<team>/hold" or
// "admin/limits".
type Path string

// NewPath joins the elements of an item's path.
func NewPath(team, kind, name string) Path {
	if kind == KindHold || kind == KindLimits {
		return Path(team + "/" + kind)
	}
	return Path(team + "/" + kind + "/" + name)
}

// Split returns the elements of p. Name is empty for a hold and
// for the limits.
func (p Path) Split() (team, kind, name string) {
	team, rest, _ := strings.Cut(string(p), "/")
	kind, name, _ = strings.Cut(rest, "/")
	return team, kind, name
}

// Team returns the team that owns the item.
func (p Path) Team() string {
	team, _, _ := p.Split()
	return team
}
