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
	// defaultCompactBytes is the journal size that triggers a compaction.
	defaultCompactBytes = 16 << 20
	// replayBatch is the number of records read at once.
	replayBatch = 1024
)

// Config configures a Ledger.
type Config struct {
	// Zone is the zone whose balances the ledger keeps.
	Zone string
	// Journal stores the records. The ledger must be its only writer.
	Journal *journal.Journal
	// Now returns the current time. The default is time.Now.
	Now func() time.Time
	// ExchangedUntil returns the time up to which all bills have been exchanged
	// with the other zones; nil if there are none. It must not call the ledger.
	ExchangedUntil func() time.Time
	// Logger logs violations and failures. The default discards them.
	Logger *zap.Logger
	// CompactBytes is the journal size that triggers a compaction. The default
	// is 16 MiB.
	CompactBytes int64
}

// Ledger keeps the balances of one zone. It is safe for concurrent use. After a
// failed journal write or Seal it rejects all changes with fault.Corrupt.
type Ledger struct {
	cfg        Config
	violations atomic.Uint64
	durable    atomic.Uint64 // number of durable submissions
	compactAt  atomic.Int64  // journal size that triggers the next compaction
	compacting sync.Mutex

	mu              sync.Mutex
	epoch           uint64
	accounts        map[string]*account
	instances       map[string]*instance
	pending         []*wire.Released // releases that the replicated log hasn't confirmed
	releaseSequence uint64           // sequence of the last release
	submitted       uint64
	lastTime        int64 // latest record time
	failure         error
	stoppedAccounts []string // names of stopped accounts
	unstoredStops   []string // stopped accounts whose record isn't stored yet
	snapshotSize    int      // size of the last snapshot in bytes

	identities  []*entry // oldest first
	answers     []*entry // entries that may have an answer, oldest first
	answerBytes int      // total size of the kept answers
}

// New restores a ledger from its journal. The error wraps fault.Corrupt if a
// record can't be read.
func New(cfg Config) (*Ledger, error) {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Logger == nil {
		cfg.Logger = zap.NewNop()
	}
	if cfg.CompactBytes == 0 {
		cfg.CompactBytes = defaultCompactBytes
	}
	l := &Ledger{cfg: cfg, accounts: map[string]*account{}, instances: map[string]*instance{}, epoch: 1}
	l.compactAt.Store(cfg.CompactBytes)
	snapshot, position := cfg.Journal.Snapshot()
	if err := l.restore(snapshot); err != nil {
		return nil, eris.Wrap(err, "ledger: restore snapshot")
	}
	for next := cfg.Journal.Next(); position < next; {
		records, err := cfg.Journal.Read(position, replayBatch)
		if err != nil {
			return nil, eris.Wrap(err, "ledger: read journal")
		}
		for _, r := range records {
			if err := l.replay(r); err != nil {
				return nil, eris.Wrapf(err, "ledger: replay record at position %d", position)
			}
			position++
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(l.now(), len(l.identities))
	// Accounts stopped during the replay will be stopped again by the next one.
	l.unstoredStops = nil
	// Replayed entries count as the first submission, which is durable.
	l.submitted = 1
	l.durable.Store(1)
	return l, nil
}

// Err returns the failure after which the ledger rejects all changes, or nil.
func (l *Ledger) Err() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.failure
}

// Epoch returns the current epoch. It is 1 until a restore.
func (l *Ledger) Epoch() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.epoch
}

// Violations returns the number of changes rejected since the start because
// they would have violated an invariant.
func (l *Ledger) Violations() uint64 { return l.violations.Load() }

// StoppedAccounts returns the sorted names of the accounts stopped by a
// violated invariant.
func (l *Ledger) StoppedAccounts() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Sorted(slices.Values(l.stoppedAccounts))
}

// Tally returns the balances of an account, or of all accounts sorted by name
// if name is empty. It returns nil for an unknown account.
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
		Stopped: a.stopped,
	}
}

// now returns the time in Unix nanoseconds, which never decreases.
func (l *Ledger) now() int64 { return max(l.lastTime, l.cfg.Now().UnixNano()) }

// replay applies a journal record. A violated invariant stops the account but
// not the replay.
func (l *Ledger) replay(record []byte) error {
	k, now, m, err := decode(record)
	if err != nil {
		return err
	}
	_ = l.apply(k, now, m) // post has logged and counted the violation
	return nil
}

// Seal makes the ledger reject all changes. After a failed write of the journal,
// the state is ahead of the journal: another ledger must be restored from it once
// it has recovered, and this one must not write to it any more.
func (l *Ledger) Seal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failure == nil {
		l.failure = eris.Wrap(fault.Corrupt, "ledger is sealed")
	}
}

// lock locks the ledger, or returns the failure after which it rejects all
// changes.
func (l *Ledger) lock() error {
	l.mu.Lock()
	if l.failure != nil {
		defer l.mu.Unlock()
		return l.failure
	}
	return nil
}

// commit applies a change and waits until its record is durable. The ledger
// must be locked; commit unlocks it.
func (l *Ledger) commit(k kind, m proto.Message) error {
	now := l.now()
	record, err := encode(k, now, m)
	if err == nil {
		err = l.apply(k, now, m)
	}
	if err != nil {
		// If the change stopped the account, the stop must be durable before
		// the caller gets the error.
		if _, failed := l.store(); failed != nil {
			return failed
		}
		return err
	}
	_, err = l.store(record)
	return err
}

// store submits the given records and those of stopped accounts, unlocks the
// ledger, and waits until they and all earlier records are durable.
func (l *Ledger) store(records ...[]byte) (position uint64, err error) {
	for _, name := range l.unstoredStops {
		record, err := encode(recordStop, l.now(), &wire.Grant{Account: name})
		if err != nil {
			l.failure = err
			l.mu.Unlock()
			return 0, err
		}
		records = append(records, record)
	}
	l.unstoredStops = nil
	l.submitted++
	submitted := l.submitted
	wait := l.cfg.Journal.Submit(records)
	l.mu.Unlock()
	if position, err = wait(); err != nil {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.failure = err
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

// validUTF8 reports whether all names are valid UTF-8, as stored records
// require.
func validUTF8(names ...string) bool {
	for _, n := range names {
		if !utf8.ValidString(n) {
			return false
		}
	}
	return true
}

// checkStorable returns an error for names and amounts that can't be stored.
func checkStorable(account string, amounts ...int64) error {
	if account == "" || !validUTF8(account) {
		return eris.Wrapf(fault.Malformed, "account %q: want a non-empty UTF-8 name", account)
	}
	for _, n := range amounts {
		if n < 0 {
			return eris.Wrapf(fault.Malformed, "account %s: negative amount %d", account, n)
		}
	}
	return nil
}
