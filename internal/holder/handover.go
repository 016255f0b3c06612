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
	// clockSkew is the largest clock difference between instances that accept
	// requests.
	clockSkew = 500 * time.Millisecond
	// freeInterval is the interval between attempts to free stranded tokens.
	freeInterval = 2 * time.Second
)

// handovers tracks the entry instances that have handed over all records that a
// lost journal may have contained.
type handovers struct {
	mu           sync.Mutex
	lastComplete int64 // when a copy was last complete, in Unix nanoseconds; 0 if unknown
	instances    map[string]bool
}

// reset starts tracking for an epoch whose copy was last complete at the given
// time. The given instances handed over their records before a restart.
func (p *handovers) reset(lastComplete int64, instances []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastComplete, p.instances = lastComplete, map[string]bool{}
	for _, name := range instances {
		p.instances[name] = true
	}
}

// add records that an instance started at the given time has handed over its
// records, and reports whether that is new. An instance that started after the
// copy was last complete doesn't count, since an earlier incarnation may have
// retained records. The call that confirmed the complete copy may have been
// delayed.
func (p *handovers) add(instance string, started uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.instances[instance] || started == 0 || int64(started)+(clockSkew+callTimeout).Nanoseconds() > p.lastComplete {
		return false
	}
	p.instances[instance] = true
	return true
}

// complete reports whether all of the instances have handed over their records.
func (p *handovers) complete(instances []string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, name := range instances {
		if !p.instances[name] {
			return false
		}
	}
	return len(instances) > 0
}

// Keep bills the records that an entry instance has retained. The last request
// of an instance contains the start time of its incarnation. Once all instances
// have sent theirs, stranded tokens become free. Keep fails while no other
// holder has a copy of the bills, since the instance drops them afterwards.
func (h *Holder) Keep(ctx context.Context, request *wire.KeepRequest) (*wire.KeepReply, error) {
	l, err := h.currentLedger()
	if err == nil && len(request.Bills) > 0 {
		err = h.settleRetained(ctx, l, request)
	}
	if err == nil && request.Epoch < l.Epoch() {
		err = h.recordHandover(l, request)
	}
	return &wire.KeepReply{Fault: wire.NewFault(err)}, nil
}

func (h *Holder) settleRetained(ctx context.Context, l *ledger.Ledger, request *wire.KeepRequest) error {
	if err := l.SettleRetained(request.Epoch, request.Bills); err != nil {
		return err
	}
	position := h.journal.Next()
	h.progress.wait(ctx, position)
	if _, solo := h.progress.state(position); solo && len(h.cfg.Peers) > 0 {
		return eris.Wrap(fault.Unavailable, "retained bills have no copy yet")
	}
	return nil
}

// recordHandover records that an instance has handed over its records. It
// stores this, because the instance doesn't repeat the handover after a restart
// of the holder.
func (h *Holder) recordHandover(l *ledger.Ledger, request *wire.KeepRequest) error {
	name := request.Holding.GetInstance()
	if h.handovers.add(name, request.Since) {
		if err := h.updateEpochState(func(o *epochState) { o.Handed = append(slices.Clone(o.Handed), name) }); err != nil {
			return err
		}
	}
	h.freeAfterHandover(l)
	return nil
}

// freeAfterHandover frees the stranded tokens of all accounts that are aligned
// with the log, once all instances have handed over their records.
func (h *Holder) freeAfterHandover(l *ledger.Ledger) {
	if h.cfg.Instances == nil || !h.handovers.complete(h.handoverInstances()) {
		return
	}
	h.freeStranded(l)
}
