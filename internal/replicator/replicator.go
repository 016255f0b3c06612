package replicator

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/journal"
	"github.com/papayapond/papayapond/internal/wire"
)

// Replicator is one member of the replicated log. It serves
// wire.DRPCLogServer. It is safe for concurrent use.
type Replicator struct {
	cfg Config
	// disk is held while the term, the vote or the entries change, and is
	// taken before mu. No file operation happens under mu, so that reads and
	// the step down of a leader don't wait for a slow disk.
	disk sync.Mutex
	// chunks of a snapshot that is being received; guarded by disk.
	incoming incoming

	mu      sync.Mutex
	ballot  *wire.Ballot // as stored; replaced, never changed
	log     *entries
	lists   []membership
	stands  bool      // is a candidate of the term
	leader  string    // leader of the term, once known
	hint    string    // leader that others named while this member is no voter
	contact time.Time // last message of a leader
	tried   time.Time // last election or step down
	commit  uint64
	applied uint64
	grown   int   // bytes of commands applied since the last snapshot
	failed  error // why this member no longer votes or accepts
	reign   *reign
	queue   []*proposal
	writing bool      // a batch is being written
	began   time.Time // when the write began
	waiting map[uint64]*proposal
	joiners map[string]string // folders that asked to join, by instance
	restore *wire.Image       // snapshot that Restore has not seen yet
	changed chan struct{}     // closed at the next change

	queued    chan struct{}
	committed chan struct{}
	hurry     chan struct{}
	group     sync.WaitGroup
}

// New opens the folder and restores the snapshot. The member takes part once
// Run is called.
func New(cfg Config) (*Replicator, error) {
	cfg = cfg.withDefaults()
	if !cfg.Join && !slices.Contains(cfg.Members, cfg.Name) {
		return nil, eris.Wrapf(fault.Malformed, "replicator: %s is not among the members", cfg.Name)
	}
	j, err := cfg.Journal(cfg.Path)
	if err != nil {
		return nil, eris.Wrap(err, "replicator: open journal")
	}
	r := &Replicator{
		cfg:       cfg,
		waiting:   map[uint64]*proposal{},
		joiners:   map[string]string{},
		changed:   make(chan struct{}),
		queued:    make(chan struct{}, 1),
		committed: make(chan struct{}, 1),
		hurry:     make(chan struct{}, 1),
	}
	if err := r.open(j); err != nil {
		_ = j.Close()
		return nil, eris.Wrap(err, "replicator")
	}
	return r, nil
}

// open reads the stored state.
func (r *Replicator) open(j *journal.Journal) error {
	log, image, err := openEntries(j, r.cfg.SnapshotEvery/4)
	if err != nil {
		return err
	}
	r.log = log
	if err := r.loadBallot(); err != nil {
		return err
	}
	if first := r.founders(); first != nil {
		r.lists = []membership{{0, &wire.Members{Voters: first}}}
	}
	if image != nil {
		if err := r.cfg.Restore(image.Data); err != nil {
			return eris.Wrap(err, "restore")
		}
		r.lists = []membership{{image.Index, image.Members}}
		r.commit, r.applied = image.Index, image.Index
	}
	if r.ballot.Commit > log.last() {
		return eris.Wrapf(fault.Corrupt, "journal ends at entry %d, committed up to %d", log.last(), r.ballot.Commit)
	}
	r.commit = max(r.commit, r.ballot.Commit)
	return r.enforce(log.list)
}

// Run takes part in the log until ctx ends, and closes the files.
func (r *Replicator) Run(ctx context.Context) {
	r.group.Go(func() { r.elect(ctx) })
	r.group.Go(func() { r.join(ctx) })
	r.group.Go(func() { r.write(ctx) })
	r.group.Go(func() { r.apply(ctx) })
	r.group.Go(func() { r.keep(ctx) })
	<-ctx.Done()
	r.keepCommit()
	r.mu.Lock()
	if r.failed == nil {
		r.failed = eris.Wrap(fault.Draining, "replicator: stopped")
	}
	r.stepDown("stop")
	r.mu.Unlock()
	r.group.Wait()
	r.disk.Lock()
	defer r.disk.Unlock()
	if err := r.log.journal.Close(); err != nil {
		r.cfg.Logger.Error("Journal can't be closed.", zap.Error(err))
	}
}

// Leader returns the instance name of the leader, or "" if none has been
// heard of lately.
func (r *Replicator) Leader() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.knownLeader()
}

// Status returns the term, the commit index and the identities of the
// voters as this member knows them.
func (r *Replicator) Status() (term, commit uint64, voters []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ballot.Term, r.commit, slices.Clone(r.members().Voters)
}

// Instances returns the instance names of the voters, and of those that have
// asked to join.
func (r *Replicator) Instances() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := slices.Collect(maps.Keys(r.joiners))
	for _, v := range r.members().Voters {
		list = append(list, instance(v))
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// knownLeader is Leader for callers that hold mu.
func (r *Replicator) knownLeader() string {
	if r.reign != nil {
		return r.cfg.Name
	}
	if r.leader == r.ballot.Member || r.cfg.Now().Sub(r.contact) >= 2*r.cfg.ElectionTimeout {
		if !isVoter(r.members(), r.ballot.Member) {
			return r.hint
		}
		return ""
	}
	return instance(r.leader)
}

// isolated is the error of an action that only the leader can do. The caller
// holds mu.
func (r *Replicator) isolated() error {
	if name := r.knownLeader(); name != "" {
		return eris.Wrapf(fault.Isolated, "the leader is %s", name)
	}
	return eris.Wrap(fault.Isolated, "no leader is known")
}

// fail stops the member from voting and accepting, and returns err.
func (r *Replicator) fail(err error) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failed == nil {
		r.failed = err
		r.cfg.Logger.Error("Member stopped.", zap.String("member", r.ballot.Member), zap.Uint64("term", r.ballot.Term), zap.Error(err))
		r.stepDown("failure")
	}
	return r.failed
}

// notify wakes the callers of await. The caller holds mu.
func (r *Replicator) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// await waits until done returns true or an error; done is called under mu.
func (r *Replicator) await(ctx context.Context, done func() (bool, error)) error {
	for {
		r.mu.Lock()
		ok, err := done()
		changed := r.changed
		r.mu.Unlock()
		if ok || err != nil {
			return err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// setCommit raises the commit index. The caller holds mu.
func (r *Replicator) setCommit(index uint64) {
	if index <= r.commit {
		return
	}
	r.commit = index
	signal(r.committed)
	r.notify()
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// pause waits for d; it returns false if ctx ends before.
func (r *Replicator) pause(ctx context.Context, d time.Duration, wake <-chan struct{}) bool {
	select {
	case <-r.cfg.After(d):
	case <-wake:
	case <-ctx.Done():
		return false
	}
	return ctx.Err() == nil
}
