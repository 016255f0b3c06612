package ledger

import (
	"slices"
	"sort"
	"sync"
	"sync/atomic"
	"time"
	"unicode/utf8"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/journal"
	"github.com/papayapond/papayapond/internal/wire"
)

const (
	// compactBytes is the size of the journal that starts a compaction.
	compactBytes = 16 << 20
	// replayBatch is the number of records that are read at once.
	replayBatch = 1024
)

// Config configures a Ledger.
type Config struct {
	// Zone is the zone of the books.
	Zone string
	// Journal holds the records. The ledger is its only writer.
	Journal *journal.Journal
	// Now is the clock; nil for the system clock.
	Now func() time.Time
	// ExchangedUntil returns the time until which all bills have been exchanged
	// with the other zones; nil if there are none. It must not call the
	// ledger.
	ExchangedUntil func() time.Time
	// Logger gets reports about violations and failures; nil for none.
	Logger *zap.Logger
	// CompactBytes is the journal size in bytes that starts a compaction; 0 for
	// 16 MiB.
	CompactBytes int64
}

// Ledger holds the books of one zone. It is safe for concurrent use. After a
// failed journal write all changes are refused with fault.Corrupt.
type Ledger struct {
	cfg        Config
	violations atomic.Uint64
	durable    atomic.Uint64 // number of submissions that are durable
	bound      atomic.Int64  // journal size that starts the next compaction
	compacting sync.Mutex

	mu        sync.Mutex
	epoch     uint64
	accounts  map[string]*account
	instances map[string]*instance
	pending   []*wire.Released // not confirmed by the log
	sequence  uint64           // of the last release
	submitted uint64
	last      int64 // latest time of a record
	failed    error
	stopped   []string // accounts
	stops     []string // accounts of them whose record isn't stored
	encoded   int      // bytes of the last encoded state

	identities []*entry // oldest first
	answers    []*entry // entries that may hold an answer, oldest first
	kept       int      // bytes of the kept answers
}

// New returns the ledger as its journal tells. The error wraps fault.Corrupt
// if a record can't be read.
func New(cfg Config) (*Ledger, error) {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Logger == nil {
		cfg.Logger = zap.NewNop()
	}
	if cfg.CompactBytes == 0 {
		cfg.CompactBytes = compactBytes
	}
	l := &Ledger{cfg: cfg, accounts: map[string]*account{}, instances: map[string]*instance{}, epoch: 1}
	l.bound.Store(cfg.CompactBytes)
	snapshot, position := cfg.Journal.Snapshot()
	if err := l.restore(snapshot); err != nil {
		return nil, eris.Wrap(err, "ledger: snapshot")
	}
	for next := cfg.Journal.Next(); position < next; {
		records, err := cfg.Journal.Read(position, replayBatch)
		if err != nil {
			return nil, eris.Wrap(err, "ledger: read journal")
		}
		for _, r := range records {
			if err := l.replay(r); err != nil {
				return nil, eris.Wrapf(err, "ledger: position %d", position)
			}
			position++
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(l.now(), len(l.identities))
	// What has stopped an account during the replay does so at the next one.
	l.stops = nil
	// The replayed entries belong to the first submission, which is durable.
	l.submitted = 1
	l.durable.Store(1)
	return l, nil
}

// Err returns the error after which the ledger accepts nothing, or nil.
func (l *Ledger) Err() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.failed
}

// Epoch returns the epoch of the books. It is 1 until a restore.
func (l *Ledger) Epoch() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.epoch
}

// Violations returns the number of changes that would have violated an
// invariant since the start.
func (l *Ledger) Violations() uint64 { return l.violations.Load() }

// StoppedAccounts returns the names of the accounts that a violated invariant has
// stopped, sorted.
func (l *Ledger) StoppedAccounts() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Sorted(slices.Values(l.stopped))
}

// Tally returns the books of an account, or of all accounts in the order of
// their names. An unknown account has no tally.
func (l *Ledger) Tally(name string) []*wire.Tally {
	l.mu.Lock()
	defer l.mu.Unlock()
	if name != "" {
		if a, ok := l.accounts[name]; ok {
			return []*wire.Tally{l.tally(a)}
		}
		return nil
	}
	tallies := make([]*wire.Tally, 0, len(l.accounts))
	for _, a := range l.accounts {
		tallies = append(tallies, l.tally(a))
	}
	sort.Slice(tallies, func(i, j int) bool { return tallies[i].Account < tallies[j].Account })
	return tallies
}

func (l *Ledger) tally(a *account) *wire.Tally {
	return &wire.Tally{
		Account: a.name, Zone: l.cfg.Zone, Granted: a.granted, Free: a.free, Allowances: a.allowances,
		Billed: a.billed, Released: a.released, Stranded: a.stranded, Requests: uint64(a.requests),
		Stopped: a.broken,
	}
}

// now returns the clock in Unix nanoseconds, which never goes back.
func (l *Ledger) now() int64 { return max(l.last, l.cfg.Now().UnixNano()) }

// replay applies a record of the journal. A violated invariant stops the
// account and not the replay.
func (l *Ledger) replay(record []byte) error {
	k, now, m, err := decode(record)
	if err != nil {
		return err
	}
	_ = l.apply(k, now, m) // post has logged and counted it
	return nil
}

// enter locks the ledger, or returns the error after which it accepts
// nothing.
func (l *Ledger) enter() error {
	l.mu.Lock()
	if l.failed != nil {
		defer l.mu.Unlock()
		return l.failed
	}
	return nil
}

// commit applies a change and stores its record. The ledger must be locked
// and is unlocked; commit returns when the record is durable.
func (l *Ledger) commit(k kind, m proto.Message) error {
	now := l.now()
	record, err := encode(k, now, m)
	if err == nil {
		err = l.apply(k, now, m)
	}
	if err != nil {
		// An account that was stopped stays so from the answer on.
		if _, failed := l.store(); failed != nil {
			return failed
		}
		return err
	}
	_, err = l.store(record)
	return err
}

// store submits applied records and those of stopped accounts, unlocks the
// ledger and waits until they and all records before them are durable.
func (l *Ledger) store(records ...[]byte) (position uint64, err error) {
	for _, name := range l.stops {
		record, err := encode(recordStop, l.now(), &wire.Grant{Account: name})
		if err != nil {
			l.failed = err
			l.mu.Unlock()
			return 0, err
		}
		records = append(records, record)
	}
	l.stops = nil
	l.submitted++
	submitted := l.submitted
	wait := l.cfg.Journal.Submit(records)
	l.mu.Unlock()
	if position, err = wait(); err != nil {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.failed = err
		return 0, err
	}
	for {
		d := l.durable.Load()
		if d >= submitted || l.durable.CompareAndSwap(d, submitted) {
			break
		}
	}
	l.compact()
	return position, nil
}

// valid reports whether the names can be stored.
func valid(names ...string) bool {
	for _, n := range names {
		if !utf8.ValidString(n) {
			return false
		}
	}
	return true
}

// check refuses names and amounts that can't be stored.
func check(account string, amounts ...int64) error {
	if account == "" || !valid(account) {
		return eris.Wrapf(fault.Malformed, "account %q", account)
	}
	for _, n := range amounts {
		if n < 0 {
			return eris.Wrapf(fault.Malformed, "account %s: negative amount %d", account, n)
		}
	}
	return nil
}
