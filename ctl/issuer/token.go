// Package issuer generates operators' tokens, and certificates for tests and
// demos.
package issuer

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
)

const tokenBytes = 32

// Token generates a random token in hex and the hash that identifies it in a
// settings file: SHA-256 over the hex text, which is what the Authorization header
// carries.
func Token() (token, hash string) {
	var secret [tokenBytes]byte
	rand.Read(secret[:])
	token = hex.EncodeToString(secret[:])
	return token, Hash(token)
}

// Hash returns the hash of a token in the form that settings files use.
func Hash(token string) string {
	sum := sha256.Sum256([]byte(token))
	return "sha256:" + hex.EncodeToString(sum[:])
}
