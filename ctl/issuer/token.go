// Package issuer makes operators' tokens and certificates for tests and demos.
package issuer

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
)

const tokenBytes = 32

// Token returns a random token as text and the hash that a settings file has
// for it: SHA-256 over the text, as it is sent in the Authorization header.
func Token() (token, hash string) {
	var secret [tokenBytes]byte
	rand.Read(secret[:])
	token = hex.EncodeToString(secret[:])
	return token, Hash(token)
}

// Hash returns the hash of a token's text.
func Hash(token string) string {
	sum := sha256.Sum256([]byte(token))
	return "sha256:" + hex.EncodeToString(sum[:])
}
