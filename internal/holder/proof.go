package holder

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/ledger"
	"github.com/papayapond/papayapond/internal/wire"
)

const (
	// clockSkew is the largest difference between the clocks of instances that
	// take work.
	clockSkew = 500 * time.Millisecond
	// proofInterval separates the attempts to free stranded rights.
	proofInterval = 2 * time.Second
)

// proofs collects the entry instances that have handed over all records that
// a lost journal may have held.
type proofs struct {
	mu      sync.Mutex
	contact int64 // time at which a copy was whole last; 0 if unknown
	handed  map[string]bool
}

// since starts a collection for the epoch that a copy covered up to the time,
// with the instances that have handed over before a restart.
func (p *proofs) since(contact int64, handed []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.contact, p.handed = contact, map[string]bool{}
	for _, name := range handed {
		p.handed[name] = true
	}
}

// add records that an instance that started at the given time has handed over
// its records, and tells whether that is new. An instance that started after
// the copy was whole for the last time proves nothing, since an earlier
// incarnation may have kept records. The call that tells that the copy is whole
// may have been on its way for a while.
func (p *proofs) add(instance string, started uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.handed[instance] || started == 0 || int64(started)+(clockSkew+callTimeout).Nanoseconds() > p.contact {
		return false
	}
	p.handed[instance] = true
	return true
}

// complete tells whether all of the instances have handed over their records.
func (p *proofs) complete(instances []string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, name := range instances {
		if !p.handed[name] {
			return false
		}
	}
	return len(instances) > 0
}

// Keep books the records that an entry instance kept. The last request of an
// instance carries the start of its incarnation and so tells that there are no
// more; when all instances have sent theirs, the stranded rights become free.
// It fails while no other holder has a copy of the bills, since the instance
// forgets them afterwards.
func (h *Holder) Keep(ctx context.Context, request *wire.KeepRequest) (*wire.KeepReply, error) {
	l, err := h.open()
	if err == nil && len(request.Bills) > 0 {
		err = h.keep(ctx, l, request)
	}
	if err == nil && request.Epoch < l.Epoch() {
		err = h.handed(l, request)
	}
	return &wire.KeepReply{Fault: wire.NewFault(err)}, nil
}

func (h *Holder) keep(ctx context.Context, l *ledger.Ledger, request *wire.KeepRequest) error {
	if err := l.SettleRetained(request.Epoch, request.Bills); err != nil {
		return err
	}
	position := h.journal.Next()
	h.progress.wait(ctx, position)
	if _, solo := h.progress.state(position); solo && len(h.cfg.Others) > 0 {
		return eris.Wrap(fault.Unavailable, "kept bills have no copy yet")
	}
	return nil
}

// handed notes an instance that has handed over its records. The note is
// stored, because the instance doesn't repeat it after a restart of the holder.
func (h *Holder) handed(l *ledger.Ledger, request *wire.KeepRequest) error {
	name := request.Holding.GetInstance()
	if h.proofs.add(name, request.Since) {
		if err := h.amend(func(o *opening) { o.Handed = append(slices.Clone(o.Handed), name) }); err != nil {
			return err
		}
	}
	h.free(l)
	return nil
}

// free frees the stranded rights of all accounts once the proof is complete.
// Accounts that are not aligned with the log wait.
func (h *Holder) free(l *ledger.Ledger) {
	if h.cfg.Instances == nil || !h.proofs.complete(h.provers()) {
		return
	}
	h.freeStranded(l)
}
