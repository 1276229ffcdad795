package renewal

import (
	"crypto/rand"
	"encoding/hex"
)

// identityLength is the length of an identity in bytes. It makes collisions practically impossible.
const identityLength = 12

// NewIdentity returns a random identity for the Registration of a process.
func NewIdentity() string {
	var id [identityLength]byte
	rand.Read(id[:]) //nolint:errcheck // never fails by its contract
	return hex.EncodeToString(id[:])
}
