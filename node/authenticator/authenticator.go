// Package authenticator tells which operator a bearer token belongs to.
package authenticator

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"strings"
	"sync/atomic"

	"github.com/pkg/errors"

	"sycamorerun"
)

const hashPrefix = "sha256:"

// Administrator is the operator name of the token in the node's settings.
const Administrator = "administrator"

// Identity is an authenticated operator.
type Identity struct {
	Team     string
	Operator string
}

// credential is the hash of one operator's token.
type credential struct {
	hash     [sha256.Size]byte
	identity Identity
}

// Authenticator knows the hashes of all operators' tokens.
type Authenticator struct {
	administrator []credential
	credentials   atomic.Pointer[[]credential]
}

// New returns an Authenticator that knows the administrator's hash alone.
// An empty hash admits no administrator.
func New(administrator string) (*Authenticator, error) {
	a := &Authenticator{}
	if administrator != "" {
		hash, err := ParseHash(administrator)
		if err != nil {
			return nil, err
		}
		identity := Identity{Team: sycamorerun.AdminTeam, Operator: Administrator}
		a.administrator = []credential{{hash, identity}}
	}
	a.credentials.Store(&a.administrator)
	return a, nil
}

// ParseHash reads "sha256:" and 64 hex digits.
func ParseHash(text string) ([sha256.Size]byte, error) {
	var hash [sha256.Size]byte
	digits, ok := strings.CutPrefix(text, hashPrefix)
	if !ok || len(digits) != hex.EncodedLen(len(hash)) {
		return hash, errors.Errorf("hash must be %q and %d hex digits", hashPrefix, hex.EncodedLen(len(hash)))
	}
	_, err := hex.Decode(hash[:], []byte(digits))
	return hash, errors.Wrap(err, "hash")
}

// Update takes the operators from the teams of items. Teams that can't be
// read are passed over; validation has refused them before.
func (a *Authenticator) Update(items map[sycamorerun.Path]sycamorerun.Item) {
	credentials := append([]credential{}, a.administrator...)
	for path, item := range items {
		owner, kind, name := path.Split()
		if owner != sycamorerun.AdminTeam || kind != sycamorerun.KindTeam {
			continue
		}
		var team sycamorerun.Team
		if json.Unmarshal(item, &team) != nil {
			continue
		}
		for _, operator := range team.Operators {
			if hash, err := ParseHash(operator.Hash); err == nil {
				credentials = append(credentials, credential{hash, Identity{Team: name, Operator: operator.Name}})
			}
		}
	}
	a.credentials.Store(&credentials)
}

// Identify returns the operator that token belongs to. It compares with every
// hash in constant time, so that timing tells nothing about the hashes.
func (a *Authenticator) Identify(token string) (Identity, bool) {
	if token == "" {
		return Identity{}, false
	}
	hash := sha256.Sum256([]byte(token))
	var identity Identity
	found := false
	for _, c := range *a.credentials.Load() {
		if subtle.ConstantTimeCompare(hash[:], c.hash[:]) == 1 {
			identity, found = c.identity, true
		}
	}
	return identity, found
}
