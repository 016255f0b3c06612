package authenticator

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
)

// keySet holds the hashes of keys and their owners.
type keySet struct {
	hashes []keyHash
	owners map[string]string
}

// keyHash is a salted hash, both as written in the configuration and decoded.
type keyHash struct {
	hash string
	salt []byte
	sum  []byte
}

func newKeySet() keySet { return keySet{owners: map[string]string{}} }

// add adds the hash of a key. The configuration has validated it.
func (s *keySet) add(hash, owner string) {
	s.hashes = append(s.hashes, parseKeyHash(hash))
	s.owners[hash] = owner
}

// find returns the hash that matches a key, or nil.
func (s *keySet) find(key string) *keyHash {
	for i := range s.hashes {
		if s.hashes[i].matches(key) {
			return &s.hashes[i]
		}
	}
	return nil
}

func parseKeyHash(hash string) keyHash {
	salt, sum, _ := strings.Cut(hash, ":")
	h := keyHash{hash: hash}
	// A hash that can't be decoded has an empty sum and matches no key.
	h.salt, _ = hex.DecodeString(salt)
	h.sum, _ = hex.DecodeString(sum)
	return h
}

// matches reports whether h is the hash of the key.
func (h keyHash) matches(key string) bool {
	var buffer [128 + maxKeyLength]byte
	sum := sha256.Sum256(append(append(buffer[:0], h.salt...), key...))
	return isEqual(sum[:], h.sum)
}
