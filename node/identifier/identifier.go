// Package identifier maps the keys of callers to client accounts. It knows keys
// only by their hashes.
package identifier

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/pkg/errors"
)

// hashPrefix begins the text of a hash.
const hashPrefix = "sha256:"

// Hash is the SHA-256 of a key.
type Hash [sha256.Size]byte

// Account is what a node needs to know of a client account for each request.
type Account struct {
	Name string
	// Label is the name for upstreams.
	Label string
	// Rank is the priority of the account's calls; zero means that of the route.
	Rank int
	// Metered says that the account has a rate.
	Metered bool
}

// ParseHash parses a hash written as "sha256:" and 64 hexadecimal digits.
func ParseHash(text string) (Hash, error) {
	var hash Hash
	digits, ok := strings.CutPrefix(text, hashPrefix)
	if !ok || len(digits) != hex.EncodedLen(len(hash)) {
		return hash, errors.Errorf("a hash is %q followed by %d hexadecimal digits", hashPrefix, hex.EncodedLen(len(hash)))
	}
	if _, err := hex.Decode(hash[:], []byte(digits)); err != nil {
		return hash, errors.New("a hash has a character that is not a hexadecimal digit")
	}
	return hash, nil
}

// Text returns the text of the hash of key.
func Text(key string) string {
	hash := sha256.Sum256([]byte(key))
	return hashPrefix + hex.EncodeToString(hash[:])
}

// ReadKey returns the hash of the key in the field Authorization, or nil if there
// is none with the given scheme. A request with several such fields has no key,
// since it is ambiguous which one counts.
func ReadKey(header http.Header, scheme string) *Hash {
	values := header["Authorization"]
	if len(values) != 1 {
		return nil
	}
	name, key, ok := strings.Cut(strings.Trim(values[0], " \t"), " ")
	key = strings.Trim(key, " \t")
	if !ok || key == "" || !strings.EqualFold(name, scheme) {
		return nil
	}
	hash := Hash(sha256.Sum256([]byte(key)))
	return &hash
}
