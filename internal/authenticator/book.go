package authenticator

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
)

// book holds the hashes of keys and their owners.
type book struct {
	entries []entry
	owners  map[string]string
}

// entry is one hash as it stands in the configuration, and decoded.
type entry struct {
	hash string
	salt []byte
	sum  []byte
}

func newBook() book { return book{owners: map[string]string{}} }

// add adds the hash of a key, which the configuration has checked.
func (b *book) add(hash, owner string) {
	b.entries = append(b.entries, newEntry(hash))
	b.owners[hash] = owner
}

// scan returns the entry of a key, or nil.
func (b *book) scan(key string) *entry {
	for i := range b.entries {
		if b.entries[i].matches(key) {
			return &b.entries[i]
		}
	}
	return nil
}

func newEntry(hash string) entry {
	salt, sum, _ := strings.Cut(hash, ":")
	e := entry{hash: hash}
	// An entry that can't be decoded has an empty sum and matches no key.
	e.salt, _ = hex.DecodeString(salt)
	e.sum, _ = hex.DecodeString(sum)
	return e
}

// matches tells whether the entry is the hash of the key.
func (e entry) matches(key string) bool {
	var buffer [128 + maxKey]byte
	sum := sha256.Sum256(append(append(buffer[:0], e.salt...), key...))
	return isEqual(sum[:], e.sum)
}
