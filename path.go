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
)

// Path names an item of the tree: "<team>/<kind>/<name>" or "<team>/hold".
type Path string

// NewPath joins the elements of an item's path.
func NewPath(team, kind, name string) Path {
	if kind == KindHold {
		return Path(team + "/" + kind)
	}
	return Path(team + "/" + kind + "/" + name)
}

// Split returns the elements of p. Name is empty for a hold.
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
