package detector

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"
)

const (
	// crashLimit is the number of targets that must end before a content is
	// blocked. Single connections break for other reasons too.
	crashLimit = 3
	// simultaneousCrashes is the time within which crashes of targets that hadn't
	// begun to answer count once: machines that lose their power together.
	simultaneousCrashes = 50 * time.Millisecond
	// crashMemory is how long a crash counts.
	crashMemory = time.Minute
	// answerMemory is how long a part counts as harmless after an answer.
	answerMemory = 5 * time.Minute
	// Retention is how long a content stays blocked after its last request.
	Retention = 10 * time.Minute
	// trialDelay is the time since the last crash after which one request with a
	// blocked content is let through, if the limit was reached exactly and not all
	// of the targets had begun to answer. A harmless content that was hit by other
	// crashes is cleared by it.
	trialDelay = 10 * time.Second
	// idlePrecision is how much the time of the last request with a blocked
	// content must change to be told to other instances.
	idlePrecision = time.Minute
	// maxParts is the number of parts of a content that are suspected.
	maxParts = 32
	// maxNewBlocks is the number of blocks that one crash may lead to. A caller
	// that composes prompts for it could make many, for each of which all crashes
	// are looked through.
	maxNewBlocks = 4
	// maxCrashes, maxCrashesPerTarget, maxBlocks, maxCleared and maxAnswered bound
	// the memory.
	// A storm of broken connections brings more crashes than are held.
	maxCrashes          = 256
	maxCrashesPerTarget = 16
	maxBlocks           = 256
	maxCleared          = 2048
	maxAnswered         = 8192
	// maxSent limits the crashes in one exchange.
	maxSent = 64
	// stormCrashes is the number of crashes held above which they are evaluated at
	// most once in evaluationInterval: it takes some milliseconds then.
	stormCrashes       = 64
	evaluationInterval = 100 * time.Millisecond
)

// Content is what a request may crash targets with.
type Content struct {
	// Parts are the parts of the prompt that other requests may share.
	Parts []string
	// Digest identifies the whole request.
	Digest string
}

// keys returns the keys of the content, with the first parts if there are many.
func (c Content) keys() []string {
	return append(slices.Clone(c.Parts[:min(len(c.Parts), maxParts)]), c.Digest)
}

// Config configures a Detector.
type Config struct {
	// OnBlock, if not nil, is called with the keys of each new block.
	OnBlock func(keys []string)
	// OnCrash, if not nil, is called after a crash of a target that had begun to
	// answer, so that other instances are told at once.
	OnCrash func()
	// Now returns the current time. It defaults to time.Now.
	Now    func() time.Time
	Logger *zap.Logger
}

// Detector collects crashes and decides which contents are blocked. It is safe for
// concurrent use. It calls no other component under its lock.
type Detector struct {
	cfg Config
	id  uint64 // of the numbers in version

	mu       sync.Mutex
	version  uint64 // number of the newest fact
	sequence uint64 // of own crashes
	crashes  []*crash
	known    answered       // ids of crashes, those that are no longer held included
	suspects map[string]int // number of crashes, by key
	cleared  map[string]*clearance
	blocks   []*block
	// answered holds the answered parts, and requests the answered digests: one
	// must not displace the other.
	answered, requests answered
	outdated           bool      // crashes were added since the last evaluation
	evaluated          time.Time // time of the last evaluation
	evaluations        int
	sweeps             int // searches for clearances to drop
}

// crash is a request that was in flight when its target ended.
type crash struct {
	id      string
	target  string
	keys    []string
	started bool // the target had begun to answer
	at      time.Time
	version uint64
}

// clearance is the last known answer to a request with a suspected key.
type clearance struct {
	at      time.Time
	version uint64
}

// block refuses requests with all of its keys.
type block struct {
	keys      []string // sorted
	targets   []string // that have crashed, at most crashLimit+1
	lastCrash time.Time
	lastSeen  time.Time
	told      time.Time // lastSeen as other instances know it
	tried     bool      // one request was let through, or none will be
	version   uint64
}

// New returns a detector without facts.
func New(cfg Config) *Detector {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.OnBlock == nil {
		cfg.OnBlock = func([]string) {}
	}
	if cfg.OnCrash == nil {
		cfg.OnCrash = func() {}
	}
	if cfg.Logger == nil {
		cfg.Logger = zap.NewNop()
	}
	return &Detector{cfg: cfg, id: rand.Uint64(), suspects: map[string]int{}, cleared: map[string]*clearance{}}
}

// RecordCrash records that a target ended before it had answered the content.
// Target names the lifetime; started tells whether the answer had begun.
func (d *Detector) RecordCrash(target string, c Content, started bool) {
	d.announce(d.addOwnCrash(target, c, started))
	if started {
		d.cfg.OnCrash()
	}
}

// addOwnCrash adds a crash that this instance has seen, and returns the blocks that follow
// from it.
func (d *Detector) addOwnCrash(target string, c Content, started bool) (added []*block) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sequence++
	id := fmt.Sprintf("%x-%d", d.id, d.sequence)
	if own := (&crash{id: id, target: target, keys: c.keys(), started: started, at: d.cfg.Now()}); d.addCrash(own) && d.isTelling(own) {
		d.outdated = true
		added = d.evaluateIfDue()
	}
	return added
}

// RecordAnswer records that a target has answered the content and survived.
func (d *Detector) RecordAnswer(c Content) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.cfg.Now()
	for _, key := range c.Parts[:min(len(c.Parts), maxParts)] {
		d.answered.add(key, now)
		d.clearSuspect(key, now)
	}
	d.requests.add(c.Digest, now)
	d.clearSuspect(c.Digest, now)
}

// Blocked returns the keys of the block that refuses the content, or nil.
func (d *Detector) Blocked(c Content) []string {
	added, keys := d.evaluateFor(c)
	d.announce(added)
	return keys
}

// evaluateFor returns new blocks, and the keys of the one that refuses the content.
func (d *Detector) evaluateFor(c Content) (added []*block, keys []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.evaluateIfDue(), d.blocked(c)
}

// blocked returns the keys of the block that refuses the content, or nil. The caller
// holds mu.
func (d *Detector) blocked(c Content) []string {
	if len(d.blocks) == 0 {
		return nil
	}
	now := d.cfg.Now()
	d.expireBlocks(now)
	keys := c.keys()
	for _, b := range d.blocks {
		if !includes(keys, b.keys) {
			continue
		}
		b.lastSeen = now
		if now.Sub(b.told) > idlePrecision {
			b.told, b.version = now, d.nextVersion()
		}
		if !b.tried && len(b.targets) <= crashLimit && now.Sub(b.lastCrash) > trialDelay {
			b.tried, b.version = true, d.nextVersion()
			d.cfg.Logger.Info("trying blocked content", zap.Strings("keys", b.keys))
			continue
		}
		return b.keys
	}
	return nil
}

// Blocks returns the number of blocks.
func (d *Detector) Blocks() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expireBlocks(d.cfg.Now())
	return len(d.blocks)
}

// nextVersion numbers a new or changed fact. The caller holds mu.
func (d *Detector) nextVersion() uint64 {
	d.version++
	return d.version
}

// addCrash stores a crash and returns false if it is known, too old or too many
// of its target are. The caller holds mu.
func (d *Detector) addCrash(c *crash) bool {
	now := d.cfg.Now()
	if _, ok := d.known.last(c.id, now); ok || now.Sub(c.at) > crashMemory {
		return false
	}
	d.expireCrashes()
	perTarget := 0
	for _, o := range d.crashes {
		if o.target == c.target {
			perTarget++
		}
	}
	if perTarget >= maxCrashesPerTarget && !c.started {
		return false
	}
	if len(d.crashes) >= maxCrashes {
		d.removeCrash(d.leastTelling())
	}
	c.version = d.nextVersion()
	d.crashes = append(d.crashes, c)
	d.known.add(c.id, now)
	for _, key := range c.keys {
		d.suspects[key]++
		if at, ok := d.lastAnswer(key, d.cfg.Now()); ok {
			d.setCleared(key, at)
		}
	}
	return true
}

// isTelling reports whether a crash may lead to a block or belongs to one. The
// caller holds mu.
func (d *Detector) isTelling(c *crash) bool {
	return d.isCovered(c.keys) || slices.ContainsFunc(c.keys, func(key string) bool {
		return d.suspects[key] >= crashLimit && !d.isCleared(key, d.cfg.Now())
	})
}

// leastTelling returns the index of the oldest crash whose target hadn't begun to
// answer, or else of the oldest one. The caller holds mu.
func (d *Detector) leastTelling() int {
	return max(slices.IndexFunc(d.crashes, func(c *crash) bool { return !c.started }), 0)
}

// removeCrash removes the crash with an index. The caller holds mu.
func (d *Detector) removeCrash(i int) {
	c := d.crashes[i]
	d.crashes = slices.Delete(d.crashes, i, i+1)
	for _, key := range c.keys {
		if d.suspects[key]--; d.suspects[key] == 0 {
			delete(d.suspects, key)
		}
	}
}

// expireCrashes removes crashes that no longer count. The caller holds mu.
func (d *Detector) expireCrashes() {
	now := d.cfg.Now()
	for i := len(d.crashes) - 1; i >= 0; i-- {
		if now.Sub(d.crashes[i].at) > crashMemory {
			d.removeCrash(i)
		}
	}
}

// expireBlocks removes blocks without requests for Retention. The caller holds mu.
func (d *Detector) expireBlocks(now time.Time) {
	d.blocks = slices.DeleteFunc(d.blocks, func(b *block) bool {
		expired := now.Sub(b.lastSeen) > Retention
		if expired {
			d.cfg.Logger.Info("content no longer blocked", zap.Strings("keys", b.keys), zap.String("reason", "no such requests"))
		}
		return expired
	})
}

// isSuspect reports whether a crash or a block has the key. The caller holds mu.
func (d *Detector) isSuspect(key string) bool {
	return d.suspects[key] > 0 || slices.ContainsFunc(d.blocks, func(b *block) bool { return slices.Contains(b.keys, key) })
}

// lastAnswer returns the time of the last answer to a request with the key, if it
// still counts. The caller holds mu.
func (d *Detector) lastAnswer(key string, now time.Time) (time.Time, bool) {
	if at, ok := d.answered.last(key, now); ok {
		return at, true
	}
	return d.requests.last(key, now)
}

// announce logs new blocks and tells OnBlock. The caller doesn't hold mu.
func (d *Detector) announce(added []*block) {
	for _, b := range added {
		d.cfg.Logger.Warn("content blocked", zap.Strings("keys", b.keys), zap.Strings("crashed", b.targets))
		d.cfg.OnBlock(b.keys)
	}
}

// includes reports whether keys has all of the others.
func includes(keys, others []string) bool {
	for _, o := range others {
		if !slices.Contains(keys, o) {
			return false
		}
	}
	return true
}
