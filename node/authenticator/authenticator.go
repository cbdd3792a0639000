// Package authenticator maps bearer tokens to operators.
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

// Administrator is the operator name of the token that the node's own settings
// configure.
const Administrator = "administrator"

// Identity is an authenticated operator.
type Identity struct {
	Team     string
	Operator string
}

// credential holds the hash of one operator's token.
type credential struct {
	hash     [sha256.Size]byte
	identity Identity
}

// Authenticator holds the token hashes of all operators.
type Authenticator struct {
	administrator []credential
	credentials   atomic.Pointer[[]credential]
}

// New returns an Authenticator that accepts only the administrator's token. If
// administratorHash is empty, there is no administrator.
func New(administratorHash string) (*Authenticator, error) {
	a := &Authenticator{}
	if administratorHash != "" {
		hash, err := ParseHash(administratorHash)
		if err != nil {
			return nil, err
		}
		identity := Identity{Team: sycamorerun.AdminTeam, Operator: Administrator}
		a.administrator = []credential{{hash, identity}}
	}
	a.credentials.Store(&a.administrator)
	return a, nil
}

// ParseHash parses a hash written as "sha256:" and 64 hex digits.
func ParseHash(text string) ([sha256.Size]byte, error) {
	var hash [sha256.Size]byte
	digits, ok := strings.CutPrefix(text, hashPrefix)
	if !ok || len(digits) != hex.EncodedLen(len(hash)) {
		return hash, errors.Errorf("hash must be %q followed by %d hex digits", hashPrefix, hex.EncodedLen(len(hash)))
	}
	_, err := hex.Decode(hash[:], []byte(digits))
	return hash, errors.Wrap(err, "hash has invalid hex digits")
}

// Update replaces the operators with those of the teams in items. It skips
// teams that can't be parsed, which validation rejects beforehand.
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

// Identify returns the operator that token belongs to. It compares the token
// with every hash in constant time, so that the timing reveals nothing about
// the hashes.
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
