package replicator

import (
	"context"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/wire"
)

// partialSnapshot is a snapshot that is being received.
type partialSnapshot struct {
	term, index uint64
	data        []byte
}

// sendSnapshot sends the snapshot to a peer whose next entry has been
// compacted.
func (r *Replicator) sendSnapshot(ctx context.Context, ls *leaderState, p *peer) error {
	data, _ := r.log.journal.Snapshot()
	image, err := decodeImage(data)
	if err != nil {
		return r.fail(err)
	}
	r.cfg.Logger.Info("sending snapshot", zap.String("to", p.member), zap.Uint64("index", image.Index), zap.Int("bytes", len(data)))
	self := r.copyBallot().Member
	for offset, size := uint64(0), uint64(len(data)); offset < size; {
		end := min(offset+uint64(r.cfg.ChunkSize), size)
		q := &wire.InstallRequest{
			Term: ls.term, Leader: self, To: p.member, Index: image.Index, Last: image.Term,
			Offset: offset, Data: data[offset:end], Done: end == size,
		}
		sentAt := r.cfg.Now()
		callCtx, cancel := context.WithTimeout(ctx, r.cfg.ElectionTimeout/2)
		reply, err := r.cfg.Install(callCtx, instance(p.member), q)
		cancel()
		if err != nil {
			return err
		}
		if reply.Term > ls.term {
			r.adoptTerm(reply.Term)
			return nil
		}
		if reply.Offset != end {
			return eris.Wrapf(fault.Unavailable, "snapshot: peer is at offset %d, want %d", reply.Offset, end)
		}
		r.mu.Lock()
		p.lastContact, p.silentSince = sentAt, sentAt
		if q.Done {
			p.matchIndex = max(p.matchIndex, image.Index)
			p.nextIndex = p.matchIndex + 1
		}
		r.notify()
		r.mu.Unlock()
		offset = end
	}
	return nil
}

// Install receives a snapshot from the leader in sequential chunks.
func (r *Replicator) Install(_ context.Context, q *wire.InstallRequest) (*wire.InstallReply, error) {
	r.lockDisk()
	defer r.unlockDisk()
	term, err := r.acceptLeader(q.Term, q.Leader, q.To)
	if err != nil {
		return nil, err
	}
	in := &r.incoming
	if term > q.Term {
		return &wire.InstallReply{Term: term}, nil
	}
	if q.Offset == 0 || in.term != q.Term || in.index != q.Index {
		*in = partialSnapshot{term: q.Term, index: q.Index}
	}
	end := q.Offset + uint64(len(q.Data))
	if q.Offset != uint64(len(in.data)) {
		return &wire.InstallReply{Term: term, Offset: uint64(len(in.data))}, nil
	}
	in.data = append(in.data, q.Data...)
	if q.Done {
		data := in.data
		*in = partialSnapshot{}
		if err := r.installSnapshot(q, data); err != nil {
			return nil, r.fail(err)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastContact = r.cfg.Now()
	return &wire.InstallReply{Term: term, Offset: end}, nil
}

// installSnapshot replaces the log with a received snapshot, unless the log
// already holds its last entry. The caller holds diskMu.
func (r *Replicator) installSnapshot(q *wire.InstallRequest, data []byte) error {
	image, err := decodeImage(data)
	if err != nil {
		return err
	}
	if image.Index != q.Index || image.Term != q.Last {
		return eris.Wrapf(fault.Broken, "snapshot has index %d, want %d", image.Index, q.Index)
	}
	r.mu.Lock()
	held := image.Index <= r.commit || r.log.term(image.Index) == image.Term
	if held {
		r.setCommit(image.Index)
	}
	r.mu.Unlock()
	if held {
		return nil
	}
	if err := r.log.journal.Reset(data, image.Index); err != nil {
		return storageError{eris.Wrapf(fault.Corrupt, "journal: %v", err)}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.finishInstall(image)
	return nil
}

// finishInstall replaces the log in memory with a stored snapshot. The caller
// holds mu.
func (r *Replicator) finishInstall(image *wire.Image) {
	r.log.reset(image)
	r.memberships = []membership{{image.Index, image.Members}}
	r.pendingRestore = image
	r.setCommit(image.Index)
}
