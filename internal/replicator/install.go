package replicator

import (
	"context"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/wire"
)

// incoming is a snapshot that is being received.
type incoming struct {
	term, index uint64
	data        []byte
}

// transmit sends the snapshot to a peer that is behind the log.
func (r *Replicator) transmit(ctx context.Context, reign *reign, p *peer) error {
	data, _ := r.log.journal.Snapshot()
	image, err := decodeImage(data)
	if err != nil {
		return r.fail(err)
	}
	r.cfg.Logger.Info("Sending a snapshot.", zap.String("to", p.member), zap.Uint64("index", image.Index), zap.Int("bytes", len(data)))
	self := r.vote().Member
	for offset, size := uint64(0), uint64(len(data)); offset < size; {
		end := min(offset+uint64(r.cfg.ChunkSize), size)
		q := &wire.InstallRequest{
			Term: reign.term, Leader: self, To: p.member, Index: image.Index, Last: image.Term,
			Offset: offset, Data: data[offset:end], Done: end == size,
		}
		sent := r.cfg.Now()
		call, cancel := context.WithTimeout(ctx, r.cfg.ElectionTimeout/2)
		reply, err := r.cfg.Install(call, instance(p.member), q)
		cancel()
		if err != nil {
			return err
		}
		if reply.Term > reign.term {
			r.adopt(reply.Term)
			return nil
		}
		if reply.Offset != end {
			return eris.Wrapf(fault.Unavailable, "snapshot: peer expects offset %d, not %d", reply.Offset, end)
		}
		r.mu.Lock()
		p.contact = sent
		if q.Done {
			p.match = max(p.match, image.Index)
			p.next = p.match + 1
		}
		r.notify()
		r.mu.Unlock()
		offset = end
	}
	return nil
}

// Install stores a snapshot of the leader, sent in parts in order.
func (r *Replicator) Install(_ context.Context, q *wire.InstallRequest) (*wire.InstallReply, error) {
	r.disk.Lock()
	defer r.disk.Unlock()
	term, err := r.follow(q.Term, q.Leader, q.To)
	if err != nil {
		return nil, err
	}
	in := &r.incoming
	if term > q.Term {
		return &wire.InstallReply{Term: term}, nil
	}
	if q.Offset == 0 || in.term != q.Term || in.index != q.Index {
		*in = incoming{term: q.Term, index: q.Index}
	}
	end := q.Offset + uint64(len(q.Data))
	if q.Offset != uint64(len(in.data)) {
		return &wire.InstallReply{Term: term, Offset: uint64(len(in.data))}, nil
	}
	in.data = append(in.data, q.Data...)
	if q.Done {
		data := in.data
		*in = incoming{}
		if err := r.replaceLog(q, data); err != nil {
			return nil, r.fail(err)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.contact = r.cfg.Now()
	return &wire.InstallReply{Term: term, Offset: end}, nil
}

// replaceLog puts a received snapshot in the place of the log, unless the
// log holds its last entry. The caller holds disk.
func (r *Replicator) replaceLog(q *wire.InstallRequest, data []byte) error {
	image, err := decodeImage(data)
	if err != nil {
		return err
	}
	if image.Index != q.Index || image.Term != q.Last {
		return eris.Wrapf(fault.Broken, "snapshot of entry %d, announced as %d", image.Index, q.Index)
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
		return eris.Wrapf(fault.Corrupt, "journal: %v", err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.log.reset(image)
	r.lists = []membership{{image.Index, image.Members}}
	r.restore = image
	r.setCommit(image.Index)
	return nil
}
