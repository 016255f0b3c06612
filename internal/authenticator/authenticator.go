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
	// DefaultCacheSize is the number of known keys if the configuration of the
	// authenticator gives no other; one takes about 250 bytes.
	DefaultCacheSize = 16384
	// maxKey is the length of the longest key that is looked up, in bytes.
	maxKey = 512
	// maxScans bounds the lookups of keys that are not known yet, running and
	// waiting. One runs at a time, so that unknown keys use one core at most.
	maxScans = 256
)

// Config holds the parameters of an authenticator.
type Config struct {
	// CacheSize bounds the number of keys that are known again, DefaultLimit if 0.
	CacheSize int
}

// Authenticator looks up keys. Its methods may be called concurrently.
type Authenticator struct {
	secret [sha256.BlockSize]byte // fills a block, so that its hash can't be extended
	limit  int
	table  atomic.Pointer[table]
	scan   sync.Mutex
	scans  atomic.Int64

	mu    sync.RWMutex
	known map[[sha256.Size]byte]string // hash in the configuration by keyed hash
}

// table holds the keys of one configuration.
type table struct {
	configuration *configuration.Configuration
	accounts      book
	operators     book
}

// New returns an authenticator that knows no key until Use is called.
func New(config Config) *Authenticator {
	a := &Authenticator{limit: config.CacheSize, known: map[[sha256.Size]byte]string{}}
	if a.limit <= 0 {
		a.limit = DefaultCacheSize
	}
	_, _ = rand.Read(a.secret[:]) // never fails, see package rand
	a.table.Store(&table{})
	return a
}

// Apply replaces the configuration.
func (a *Authenticator) Apply(c *configuration.Configuration) {
	t := &table{configuration: c, accounts: newBook(), operators: newBook()}
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
// fault.Unauthorized, or fault.Overloaded if too many unknown keys are being
// looked up.
func (a *Authenticator) Account(key string) (account.Account, error) {
	t := a.table.Load()
	name, err := a.find(&t.accounts, key)
	if err != nil {
		return account.Account{}, err
	}
	found, _ := t.configuration.Account(name)
	return found, nil
}

// Operator returns the name of the operator that the key belongs to. The
// errors are those of Account.
func (a *Authenticator) Operator(key string) (string, error) {
	return a.find(&a.table.Load().operators, key)
}

// Group returns the group that a target belongs to by its name, if the key is
// that of the group. The error wraps fault.Unauthorized.
func (a *Authenticator) Group(target, key string) (group.Group, error) {
	t := a.table.Load()
	if t.configuration != nil {
		g, ok := t.configuration.Group(target)
		if ok && len(key) <= maxKey && newEntry(g.Key).matches(key) {
			return g, nil
		}
	}
	return group.Group{}, eris.Wrapf(fault.Unauthorized, "target %.128q", target)
}

// find returns the owner of a key.
func (a *Authenticator) find(b *book, key string) (string, error) {
	if key == "" || len(key) > maxKey {
		return "", unauthorized
	}
	id := a.identify(key)
	a.mu.RLock()
	hash, ok := a.known[id]
	a.mu.RUnlock()
	if ok {
		if owner, ok := b.owners[hash]; ok {
			return owner, nil
		}
	}
	defer a.scans.Add(-1)
	if a.scans.Add(1) > maxScans {
		return "", overloaded
	}
	a.scan.Lock()
	defer a.scan.Unlock()
	e := b.scan(key)
	if e == nil {
		return "", unauthorized
	}
	a.remember(id, e.hash)
	return b.owners[e.hash], nil
}

// unauthorized and overloaded are made once, since an error with a stack for
// each unknown key costs more than the lookup of a known one.
var (
	unauthorized = eris.Wrap(fault.Unauthorized, "key")
	overloaded   = eris.Wrap(fault.Overloaded, "too many unknown keys")
)

// identify returns the hash of a key under the secret of the process.
func (a *Authenticator) identify(key string) [sha256.Size]byte {
	var buffer [sha256.BlockSize + maxKey]byte
	n := copy(buffer[:], a.secret[:])
	n += copy(buffer[n:], key)
	return sha256.Sum256(buffer[:n])
}

// remember keeps a key that was found, in place of any other at the limit.
func (a *Authenticator) remember(id [sha256.Size]byte, hash string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, ok := a.known[id]; !ok && len(a.known) >= a.limit {
		for other := range a.known {
			delete(a.known, other)
			break
		}
	}
	a.known[id] = hash
}

// isEqual compares two hashes in constant time.
func isEqual(x, y []byte) bool { return subtle.ConstantTimeCompare(x, y) == 1 }
