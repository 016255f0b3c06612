package authenticator

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"

	"github.com/papayapond/papayapond/internal/configuration"
	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/pkg/account"
	"github.com/papayapond/papayapond/pkg/group"
)

const (
	// DefaultCacheSize is the maximum number of cached keys if Config sets none.
	// Each takes about 250 bytes.
	DefaultCacheSize = 16384
	// maxKeyLength is the maximum length of a key, in bytes.
	maxKeyLength = 512
	// maxPendingScans bounds the running and waiting lookups of keys that aren't
	// cached. One runs at a time, so that unknown keys use at most one core.
	maxPendingScans = 256
)

// Config configures an Authenticator.
type Config struct {
	// CacheSize is the maximum number of cached keys, DefaultCacheSize if 0.
	CacheSize int
}

// Authenticator looks up keys. It is safe for concurrent use.
type Authenticator struct {
	secret       [sha256.BlockSize]byte // a full block, to prevent length extension attacks
	cacheSize    int
	table        atomic.Pointer[table]
	scanMu       sync.Mutex
	pendingScans atomic.Int64

	mu    sync.RWMutex
	cache map[[sha256.Size]byte]string // hash in the configuration, by cacheKey
}

// table holds the keys of one configuration.
type table struct {
	configuration *configuration.Configuration
	accounts      keySet
	operators     keySet
}

// New returns an authenticator that knows no keys until Apply is called.
func New(config Config) *Authenticator {
	a := &Authenticator{cacheSize: config.CacheSize, cache: map[[sha256.Size]byte]string{}}
	if a.cacheSize <= 0 {
		a.cacheSize = DefaultCacheSize
	}
	_, _ = rand.Read(a.secret[:]) // never fails, see package rand
	a.table.Store(&table{})
	return a
}

// Apply replaces the configuration.
func (a *Authenticator) Apply(c *configuration.Configuration) {
	t := &table{configuration: c, accounts: newKeySet(), operators: newKeySet()}
	for owner := range c.Accounts(nil) {
		for _, hash := range owner.Keys {
			t.accounts.add(hash, owner.Name)
		}
	}
	for _, operator := range c.Venture().Operators {
		t.operators.add(operator.Key, operator.Name)
	}
	a.table.Store(t)
}

// Account returns the account that the key belongs to. The error wraps
// fault.Unauthorized, or fault.Overloaded if too many uncached keys are being
// looked up.
func (a *Authenticator) Account(key string) (account.Account, error) {
	t := a.table.Load()
	name, err := a.lookup(&t.accounts, key)
	if err != nil {
		return account.Account{}, err
	}
	found, _ := t.configuration.Account(name)
	return found, nil
}

// Operator returns the name of the operator that the key belongs to. It returns
// the same errors as Account.
func (a *Authenticator) Operator(key string) (string, error) {
	return a.lookup(&a.table.Load().operators, key)
}

// Group returns the group of the named target if the key is the key of that
// group. The error wraps fault.Unauthorized.
func (a *Authenticator) Group(target, key string) (group.Group, error) {
	t := a.table.Load()
	if t.configuration != nil {
		g, ok := t.configuration.Group(target)
		if ok && len(key) <= maxKeyLength && parseKeyHash(g.Key).matches(key) {
			return g, nil
		}
	}
	return group.Group{}, eris.Wrapf(fault.Unauthorized, "target %.128q", target)
}

// lookup returns the owner of a key.
func (a *Authenticator) lookup(keys *keySet, key string) (string, error) {
	if key == "" || len(key) > maxKeyLength {
		return "", errUnauthorized
	}
	id := a.cacheKey(key)
	a.mu.RLock()
	hash, ok := a.cache[id]
	a.mu.RUnlock()
	if ok {
		if owner, ok := keys.owners[hash]; ok {
			return owner, nil
		}
	}
	defer a.pendingScans.Add(-1)
	if a.pendingScans.Add(1) > maxPendingScans {
		return "", errOverloaded
	}
	a.scanMu.Lock()
	defer a.scanMu.Unlock()
	found := keys.find(key)
	if found == nil {
		return "", errUnauthorized
	}
	a.addToCache(id, found.hash)
	return keys.owners[found.hash], nil
}

// errUnauthorized and errOverloaded are created once, since an error with a stack
// trace costs more than the lookup of a cached key.
var (
	errUnauthorized = eris.Wrap(fault.Unauthorized, "key")
	errOverloaded   = eris.Wrap(fault.Overloaded, "too many lookups of unknown keys")
)

// cacheKey returns the hash of a key with the secret of the process.
func (a *Authenticator) cacheKey(key string) [sha256.Size]byte {
	var buffer [sha256.BlockSize + maxKeyLength]byte
	n := copy(buffer[:], a.secret[:])
	n += copy(buffer[n:], key)
	return sha256.Sum256(buffer[:n])
}

// addToCache caches a key, and evicts an arbitrary one if the cache is full.
func (a *Authenticator) addToCache(id [sha256.Size]byte, hash string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, ok := a.cache[id]; !ok && len(a.cache) >= a.cacheSize {
		for other := range a.cache {
			delete(a.cache, other)
			break
		}
	}
	a.cache[id] = hash
}

// isEqual reports in constant time whether two hashes are equal.
func isEqual(x, y []byte) bool { return subtle.ConstantTimeCompare(x, y) == 1 }
