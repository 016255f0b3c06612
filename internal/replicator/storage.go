package replicator

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/fault"
)

const (
	// minResumeInterval and maxResumeInterval limit the interval between
	// attempts to resume after a storage error. The interval grows because each
	// attempt writes the log anew.
	minResumeInterval = 250 * time.Millisecond
	maxResumeInterval = time.Second
)

// storageError is the error of a file operation. Unlike a violated invariant, it
// may be temporary.
type storageError struct{ error }

func (e storageError) Unwrap() error { return e.error }

// lockDisk acquires diskMu and records since when it is held.
func (r *Replicator) lockDisk() {
	r.diskMu.Lock()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.diskSince = r.cfg.Now()
}

// unlockDisk releases diskMu. It logs an operation that took longer than an
// election timeout, because votes and entries waited for it.
func (r *Replicator) unlockDisk() {
	r.mu.Lock()
	if held := r.cfg.Now().Sub(r.diskSince); held > r.cfg.ElectionTimeout {
		r.cfg.Logger.Warn("storage operation was slow", zap.String("member", r.ballot.Member), zap.Bool("leader", r.leading != nil), zap.Duration("took", held))
	}
	r.diskSince = time.Time{}
	r.mu.Unlock()
	r.diskMu.Unlock()
}

// fail stops the member from voting and accepting entries, until its storage
// works again if err is a storage error and for good otherwise. It returns the
// first error since the member took part.
func (r *Replicator) fail(err error) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failed == nil {
		r.failed = err
		r.suspended = errors.As(err, &storageError{})
		r.cfg.Logger.Error("member stopped", zap.String("member", r.ballot.Member), zap.Uint64("term", r.ballot.Term), zap.Bool("resumes", r.suspended), zap.Error(err))
		r.stepDown("failure")
		signal(r.storage)
	}
	return r.failed
}

// resumeLoop resumes the member after storage errors.
func (r *Replicator) resumeLoop(ctx context.Context) {
	for {
		select {
		case <-r.storage:
		case <-ctx.Done():
			return
		}
		start := r.cfg.Now()
		interval := minResumeInterval
		for attempts := 1; r.isSuspended() && r.pause(ctx, interval, nil); attempts++ {
			if err := r.resume(); errors.Is(err, fault.Broken) {
				r.abandon(err)
			} else if err == nil {
				r.cfg.Logger.Info("member resumed", zap.String("member", r.copyBallot().Member), zap.Duration("after", r.cfg.Now().Sub(start)), zap.Int("attempts", attempts))
			}
			interval = min(2*interval, maxResumeInterval)
		}
	}
}

// abandon stops a suspended member for good.
func (r *Replicator) abandon(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.suspended {
		return // Run has ended
	}
	r.failed, r.suspended = err, false
	r.cfg.Logger.Error("member can't resume", zap.String("member", r.ballot.Member), zap.Error(err))
}

func (r *Replicator) isSuspended() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.suspended
}

// resume makes one attempt to take part again. It stores the log and the ballot
// that the member had when it stopped: what it tried to write then was neither
// acknowledged nor sent.
func (r *Replicator) resume() error {
	r.lockDisk()
	defer r.unlockDisk()
	if err := r.log.journal.Recover(maxBatchBytes); err != nil {
		return eris.Wrap(err, "recover journal")
	}
	if err := r.finishInterrupted(); err != nil {
		return err
	}
	b := r.copyBallot()
	r.mu.Lock()
	b.Commit = r.commit
	r.mu.Unlock()
	if err := r.storeBallot(b); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.suspended {
		return r.failed // Run has ended
	}
	r.ballot, r.failed, r.suspended = b, nil, false
	// It may lead a later term than that of the ballot.
	r.leader = ""
	// The leader, if there is one, has the time to make contact.
	r.electionReset = r.cfg.Now()
	r.notify()
	return nil
}

// finishInterrupted completes in memory a compaction or the installation of a
// snapshot that Recover has completed in the journal. The caller holds diskMu.
func (r *Replicator) finishInterrupted() error {
	data, position := r.log.journal.Snapshot()
	r.mu.Lock()
	defer r.mu.Unlock()
	if position > r.log.snapshotIndex {
		image, err := decodeImage(data)
		if err != nil {
			return err
		}
		if r.log.term(position) == image.Term {
			r.finishCompaction(position)
		} else {
			r.finishInstall(image)
		}
	}
	if next := r.log.journal.Next(); next != r.log.last() {
		return eris.Wrapf(fault.Broken, "journal ends at entry %d, want %d", next, r.log.last())
	}
	return nil
}
