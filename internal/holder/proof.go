package holder

import (
	"context"
	"sync"
	"time"

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
// a lost journal may have held. It is kept in memory: after a restart of the
// holder the stranded rights wait for the dissolution.
type proofs struct {
	mu      sync.Mutex
	contact int64 // time up to which a copy covered the lost epoch; 0 if unknown
	handed  map[string]bool
}

// since starts a collection for the epoch that a copy covered up to the time.
func (p *proofs) since(contact int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.contact, p.handed = contact, map[string]bool{}
}

// add records that an instance that started at the given time has handed over
// its records. An instance that started after the last contact proves
// nothing, since an earlier incarnation may have kept records.
func (p *proofs) add(instance string, started uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if started > 0 && int64(started)+clockSkew.Nanoseconds() <= p.contact {
		p.handed[instance] = true
	}
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
func (h *Holder) Keep(_ context.Context, request *wire.KeepRequest) (*wire.KeepReply, error) {
	l, err := h.open()
	if err == nil && len(request.Bills) > 0 {
		err = l.Keep(request.Epoch, request.Bills)
	}
	if err != nil {
		return &wire.KeepReply{Fault: wire.NewFault(err)}, nil
	}
	h.progress.kick()
	if request.Epoch < l.Epoch() {
		h.proofs.add(request.Holding.GetInstance(), request.Since)
		h.free(l)
	}
	return &wire.KeepReply{}, nil
}

// free frees the stranded rights of all accounts once the proof is complete.
// Accounts that are not aligned with the log wait.
func (h *Holder) free(l *ledger.Ledger) {
	if h.cfg.Instances == nil || !h.proofs.complete(h.cfg.Instances()) {
		return
	}
	h.freeStranded(l)
}
