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

// Replicator is one member of the replicated log. It implements
// wire.DRPCLogServer and is safe for concurrent use.
type Replicator struct {
	cfg Config
	// diskMu serializes changes to the term, the vote and the entries. It is
	// locked before mu. No file operation runs under mu, so reads and
	// step-downs never wait for a slow disk.
	diskMu sync.Mutex
	// diskSince is when diskMu was acquired, zero while it is free; guarded by
	// mu.
	diskSince time.Time
	// incoming is the snapshot being received; guarded by diskMu.
	incoming partialSnapshot

	mu                 sync.Mutex
	ballot             *wire.Ballot // as stored; replaced, never modified
	log                *entryLog
	memberships        []membership
	candidate          bool      // candidate in the current term
	leader             string    // leader of the current term, if known
	previousLeader     string    // last leader that made contact
	leaderHint         string    // leader reported by others while this member is not a voter
	lastContact        time.Time // last message from a leader
	electionReset      time.Time // last election, granted vote or step-down
	commit             uint64
	applied            uint64
	bytesSinceSnapshot int    // command bytes applied since the last snapshot
	failed             error  // why this member doesn't vote or accept entries
	suspended          bool   // failed is a storage error, after which the member may resume
	lastElection       string // result of the last election as logged
	leading            *leaderState
	queue              []*proposal
	waiting            map[uint64]*proposal
	joiners            map[string]string // member identities that asked to join, by instance
	pendingRestore     *wire.Image       // snapshot not yet passed to Restore
	changed            chan struct{}     // closed on the next change

	queued     chan struct{}
	committed  chan struct{}
	storage    chan struct{} // signals a storage error
	timeoutNow chan struct{}
	group      sync.WaitGroup
}

// New opens the data folder and restores the latest snapshot. The member is
// inactive until Run is called.
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
		cfg:        cfg,
		waiting:    map[uint64]*proposal{},
		joiners:    map[string]string{},
		changed:    make(chan struct{}),
		queued:     make(chan struct{}, 1),
		committed:  make(chan struct{}, 1),
		storage:    make(chan struct{}, 1),
		timeoutNow: make(chan struct{}, 1),
	}
	if err := r.open(j); err != nil {
		_ = j.Close()
		return nil, eris.Wrap(err, "replicator")
	}
	return r, nil
}

// open loads the stored state.
func (r *Replicator) open(j *journal.Journal) error {
	log, snapshot, err := openEntryLog(j, r.cfg.SnapshotEvery/4)
	if err != nil {
		return err
	}
	r.log = log
	if err := r.loadBallot(); err != nil {
		return err
	}
	if voters := r.initialMembers(); voters != nil {
		r.memberships = []membership{{0, &wire.Members{Voters: voters}}}
	}
	if snapshot != nil {
		if err := r.cfg.Restore(snapshot.Data); err != nil {
			return eris.Wrap(err, "restore")
		}
		r.memberships = []membership{{snapshot.Index, snapshot.Members}}
		r.commit, r.applied = snapshot.Index, snapshot.Index
	}
	if r.ballot.Commit > log.last() {
		return eris.Wrapf(fault.Corrupt, "journal ends at entry %d, want at least the committed entry %d", log.last(), r.ballot.Commit)
	}
	r.commit = max(r.commit, r.ballot.Commit)
	return r.addMemberships(log.entries)
}

// Run participates in the log until ctx ends, then closes the files.
func (r *Replicator) Run(ctx context.Context) {
	r.group.Go(func() { r.electionLoop(ctx) })
	r.group.Go(func() { r.joinLoop(ctx) })
	r.group.Go(func() { r.writeLoop(ctx) })
	r.group.Go(func() { r.applyLoop(ctx) })
	r.group.Go(func() { r.commitSaveLoop(ctx) })
	r.group.Go(func() { r.resumeLoop(ctx) })
	<-ctx.Done()
	r.saveCommit()
	r.mu.Lock()
	if r.failed == nil {
		r.failed = eris.Wrap(fault.Draining, "replicator: stopped")
	}
	r.suspended = false
	r.stepDown("stop")
	r.mu.Unlock()
	r.group.Wait()
	r.lockDisk()
	defer r.unlockDisk()
	if err := r.log.journal.Close(); err != nil {
		r.cfg.Logger.Error("failed to close journal", zap.Error(err))
	}
}

// Leader returns the instance name of the leader, or "" if no leader has been
// heard from recently.
func (r *Replicator) Leader() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.knownLeader()
}

// Status returns the term, the commit index and the voter identities known to
// this member.
func (r *Replicator) Status() (term, commit uint64, voters []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ballot.Term, r.commit, slices.Clone(r.members().Voters)
}

// Instances returns the instance names of the voters and of the instances
// that asked to join.
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

// knownLeader implements Leader. The caller holds mu.
func (r *Replicator) knownLeader() string {
	if r.leading != nil {
		return r.cfg.Name
	}
	if r.leader == r.ballot.Member || r.cfg.Now().Sub(r.lastContact) >= 2*r.cfg.ElectionTimeout {
		if !isVoter(r.members(), r.ballot.Member) {
			return r.leaderHint
		}
		return ""
	}
	return instance(r.leader)
}

// notLeaderError returns the error for an operation that only the leader can
// perform. The caller holds mu.
func (r *Replicator) notLeaderError() error {
	if name := r.knownLeader(); name != "" {
		return eris.Wrapf(fault.Isolated, "the leader is %s", name)
	}
	return eris.Wrap(fault.Isolated, "no leader is known")
}

// notify wakes all callers of await. The caller holds mu.
func (r *Replicator) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// await blocks until done returns true or an error. It calls done with mu
// held.
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

// setCommit advances the commit index. The caller holds mu.
func (r *Replicator) setCommit(index uint64) {
	if index <= r.commit {
		return
	}
	r.commit = index
	signal(r.committed)
	r.notify()
}

// signal sends on c without blocking.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// pause waits for d or a receive from wake. It returns false if ctx has
// ended.
func (r *Replicator) pause(ctx context.Context, d time.Duration, wake <-chan struct{}) bool {
	select {
	case <-r.cfg.After(d):
	case <-wake:
	case <-ctx.Done():
		return false
	}
	return ctx.Err() == nil
}
