package replicator

import (
	"go.uber.org/zap"
)

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
	r.mu.Unlock()
	r.diskMu.Unlock()
}
