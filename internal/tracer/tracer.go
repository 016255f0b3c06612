package tracer

import (
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"sync"
	"time"

	"github.com/papayapond/papayapond/internal/wire"
)

const (
	// defaultRetention is the default of Config.Retention: the longest time between
	// the first event of a stream and the last time that its caller takes it up.
	defaultRetention = 60 * time.Second
	// defaultCapacity is the default of Config.Capacity: 5,000 streams a second for
	// the retention, three times over.
	defaultCapacity = 1 << 20
	// generationCount is the number of parts in which records are dropped.
	generationCount = 8
	// maxBatch limits the records in one message.
	maxBatch = 4096
)

// Config configures a Tracer.
type Config struct {
	// Retention is how long records are kept; 0 selects the default. Up to an eighth
	// more passes until they are dropped.
	Retention time.Duration
	// Capacity is the number of records above which the oldest are dropped, an eighth
	// at a time; 0 selects the default.
	Capacity int
	// Complete tells that the tracer observes all targets and routes from the first
	// ones of the fleet on.
	Complete bool
	Now      func() time.Time
}

// Tracer holds records and the history of pools. It is safe for concurrent use.
type Tracer struct {
	cfg Config

	mu          sync.Mutex
	generations []*generation // oldest first
	unsent      []unsent      // oldest first
	history     history
}

// origin is what began a stream.
type origin struct{ pool, version string }

// generation holds the records of an eighth of the retention. Dropping it takes no
// look at each record.
type generation struct {
	started time.Time
	origins []origin
	numbers map[origin]uint32 // in origins
	records map[uint64]uint32 // number of the origin by key
}

// unsent is a record that the leader hasn't acknowledged.
type unsent struct {
	key    uint64
	origin origin
	at     time.Time
}

// New returns a tracer without records.
func New(cfg Config) *Tracer {
	if cfg.Retention == 0 {
		cfg.Retention = defaultRetention
	}
	if cfg.Capacity == 0 {
		cfg.Capacity = defaultCapacity
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Tracer{cfg: cfg, history: history{known: cfg.Complete, versions: spells{}, routings: spells{}}}
}

// Key returns the key of a request of an account. Callers choose the attempt: with a
// weaker hash, one could make a record under the key of another account's request.
func Key(account, attempt string) uint64 {
	sum := sha256.Sum256([]byte(account + "\x00" + attempt))
	return binary.LittleEndian.Uint64(sum[:])
}

// Record keeps that a target of a pool and a version has begun a stream, unless
// there is a record of the key.
func (t *Tracer) Record(key uint64, pool, version string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now, o := t.cfg.Now(), origin{pool, version}
	if !t.add(key, o, now) {
		return
	}
	if len(t.unsent) >= t.cfg.Capacity {
		t.unsent = t.unsent[1:]
	}
	t.unsent = append(t.unsent, unsent{key, o, now})
}

// Find returns the pool and the version that began a stream.
func (t *Tracer) Find(key uint64) (pool, version string, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(t.cfg.Now())
	o, ok := t.find(key)
	return o.pool, o.version, ok
}

// Len returns the number of records.
func (t *Tracer) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.count()
}

// Unsent returns records that haven't been acknowledged, oldest first, or nil.
func (t *Tracer) Unsent() []*wire.Origins {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := 0
	for now := t.cfg.Now(); old < len(t.unsent) && now.Sub(t.unsent[old].at) > t.cfg.Retention; {
		old++
	}
	t.unsent = t.unsent[old:]
	var batch []*wire.Origins
	groups := map[origin]*wire.Origins{}
	for _, u := range t.unsent[:min(len(t.unsent), maxBatch)] {
		g := groups[u.origin]
		if g == nil {
			g = &wire.Origins{Pool: u.origin.pool, Version: u.origin.version}
			groups[u.origin] = g
			batch = append(batch, g)
		}
		g.Attempts = append(g.Attempts, u.key)
	}
	return batch
}

// Acknowledge tells that the leader has committed the records that Unsent returned.
func (t *Tracer) Acknowledge(batch []*wire.Origins) {
	if len(batch) == 0 {
		return
	}
	sent := map[uint64]bool{}
	for _, g := range batch {
		for _, key := range g.Attempts {
			sent[key] = true
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var rest []unsent
	for _, u := range t.unsent {
		if !sent[u.key] {
			rest = append(rest, u)
		}
	}
	t.unsent = rest
}

// Merge adds records of other instances. They aren't sent on.
func (t *Tracer) Merge(batch []*wire.Origins) {
	if len(batch) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.merge(batch, t.cfg.Now())
}

func (t *Tracer) merge(batch []*wire.Origins, now time.Time) {
	for _, g := range batch {
		o := origin{g.Pool, g.Version}
		for _, key := range g.Attempts {
			t.add(key, o, now)
		}
	}
}

// Save writes records and history to a snapshot.
func (t *Tracer) Save(s *wire.CoreState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.cfg.Now()
	t.expire(now)
	for _, g := range t.generations {
		groups := make([]*wire.Origins, len(g.origins))
		for i, o := range g.origins {
			groups[i] = &wire.Origins{Pool: o.pool, Version: o.version}
		}
		for key, number := range g.records {
			groups[number].Attempts = append(groups[number].Attempts, key)
		}
		s.Origins = append(s.Origins, groups...)
	}
	s.History = t.history.encode(now)
}

// Load replaces records and history with those of a snapshot. All of them count as
// made now, because the snapshot doesn't tell how long ago it was taken.
func (t *Tracer) Load(s *wire.CoreState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.cfg.Now()
	t.generations, t.unsent = nil, nil
	t.merge(s.Origins, now)
	t.history.load(s.History, now)
}

// add adds a record unless there is one of its key. The caller holds mu.
func (t *Tracer) add(key uint64, o origin, now time.Time) bool {
	t.expire(now)
	if _, ok := t.find(key); ok {
		return false
	}
	g := t.newest(now)
	number, ok := g.numbers[o]
	if !ok {
		number = uint32(len(g.origins))
		g.origins, g.numbers[o] = append(g.origins, o), number
	}
	g.records[key] = number
	return true
}

// find returns the origin of a key. The caller holds mu.
func (t *Tracer) find(key uint64) (origin, bool) {
	for _, g := range t.generations {
		if number, ok := g.records[key]; ok {
			return g.origins[number], true
		}
	}
	return origin{}, false
}

// newest returns the generation for new records, and drops the oldest one if there
// are too many. The caller holds mu.
func (t *Tracer) newest(now time.Time) *generation {
	size := max(t.cfg.Capacity/generationCount, 1)
	if n := len(t.generations); n > 0 {
		g := t.generations[n-1]
		if now.Sub(g.started) < t.cfg.Retention/generationCount && len(g.records) < size {
			return g
		}
	}
	for len(t.generations) > 0 && t.count()+size > t.cfg.Capacity {
		t.generations = slices.Delete(t.generations, 0, 1)
	}
	g := &generation{started: now, numbers: map[origin]uint32{}, records: map[uint64]uint32{}}
	t.generations = append(t.generations, g)
	return g
}

// count returns the number of records. The caller holds mu.
func (t *Tracer) count() int {
	n := 0
	for _, g := range t.generations {
		n += len(g.records)
	}
	return n
}

// expire drops the generations whose records are all older than the retention. The
// caller holds mu.
func (t *Tracer) expire(now time.Time) {
	for len(t.generations) > 0 && now.Sub(t.generations[0].started) > t.cfg.Retention+t.cfg.Retention/generationCount {
		t.generations = slices.Delete(t.generations, 0, 1)
	}
}
