package authenticator_test

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"testing"

	"github.com/matryer/is"

	"sycamorerun"
	"sycamorerun/node/authenticator"
)

func hash(token string) string {
	sum := sha256.Sum256([]byte(token))
	return "sha256:" + hex.EncodeToString(sum[:])
}

// TestIdentify guards against a token that grants access to another team's
// subtree, or that is still accepted after its removal.
func TestIdentify(t *testing.T) {
	team, err := json.Marshal(sycamorerun.Team{
		Mode:      sycamorerun.ModeFlow,
		Operators: []sycamorerun.Operator{{Name: "ann", Hash: hash("ann-token")}},
	})
	if err != nil {
		t.Fatal(err)
	}
	items := map[sycamorerun.Path]sycamorerun.Item{
		"admin/team/quoting":  team,
		"quoting/team/broken": []byte("{"),
		"admin/team/broken":   []byte("{"),
		"quoting/team/forged": bytes.ReplaceAll(team, []byte(hash("ann-token")), []byte(hash("forged"))),
		"admin/team/empty":    bytes.ReplaceAll(team, []byte(hash("ann-token")), []byte(hash(""))),
	}
	cases := map[string]struct {
		token    string
		items    map[sycamorerun.Path]sycamorerun.Item
		identity authenticator.Identity
		found    bool
	}{
		"administrator": {"root", items, authenticator.Identity{Team: "admin", Operator: "administrator"}, true},
		"operator":      {"ann-token", items, authenticator.Identity{Team: "quoting", Operator: "ann"}, true},
		"own team item": {"forged", items, authenticator.Identity{}, false},
		"removed":       {"ann-token", nil, authenticator.Identity{}, false},
		"wrong":         {"bob-token", items, authenticator.Identity{}, false},
		"hash as token": {hash("ann-token"), items, authenticator.Identity{}, false},
		"empty":         {"", items, authenticator.Identity{}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a, err := authenticator.New(hash("root"))
			is.NoErr(err)
			a.Update(items) // the previous version
			a.Update(c.items)
			identity, found := a.Identify(c.token)
			is.Equal(found, c.found)
			is.Equal(identity, c.identity)
		})
	}
}

// TestNoAdministrator guards against an empty administrator hash that admits
// the empty token.
func TestNoAdministrator(t *testing.T) {
	is := is.New(t)
	a, err := authenticator.New("")
	is.NoErr(err)
	_, found := a.Identify("")
	is.True(!found)
	_, err = authenticator.New("sha256:12")
	is.True(err != nil)
}
