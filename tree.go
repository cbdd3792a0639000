package sycamorerun

import (
	"encoding/json"
	"maps"
)

// Item is the canonical JSON of a team, hold, service or route, or of the limits.
type Item = json.RawMessage

// Hash is the SHA-256 of a tree or a subtree.
type Hash [32]byte

// Tree is the whole configuration at one version. It must not be modified once
// it is shared.
type Tree struct {
	Version Version
	Items   map[Path]Item
}

// Clone returns a copy of t with its own, non-nil item map.
func (t Tree) Clone() Tree {
	items := maps.Clone(t.Items)
	if items == nil {
		items = map[Path]Item{}
	}
	return Tree{Version: t.Version, Items: items}
}

// Subtree returns the items that the team owns.
func (t Tree) Subtree(team string) map[Path]Item {
	items := map[Path]Item{}
	for path, item := range t.Items {
		if path.Team() == team {
			items[path] = item
		}
	}
	return items
}
