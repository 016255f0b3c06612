package account

import (
	"crypto/sha256"
	"encoding/hex"
)

// MinSalt is the minimum length of the salt of a key hash in bytes.
const MinSalt = 8

// Hash returns the hash of an API key in the format of the configuration: the
// salt and the SHA-256 of salt and key, both in hex, joined by a colon. The
// keys of accounts, operators and target groups share this format. Hash panics
// if the salt is shorter than MinSalt or the key is empty.
func Hash(salt []byte, key string) string {
	if len(salt) < MinSalt {
		panic("account: salt is shorter than MinSalt")
	}
	if key == "" {
		panic("account: key is empty")
	}
	sum := sha256.Sum256(append(salt[:len(salt):len(salt)], key...))
	return hex.EncodeToString(salt) + ":" + hex.EncodeToString(sum[:])
}
