package holder

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/ledger"
	"github.com/papayapond/papayapond/internal/wire"
)

// witnessTimeout bounds one call to a witness. After the wait for a copy, two
// calls fit into the second that an instance waits for a settle.
const witnessTimeout = 300 * time.Millisecond

// witnesses tracks the other entry instances of the zone. In solo mode one of
// them retains the bills that this instance acknowledges to its own callers,
// since they would otherwise be lost with its disk.
type witnesses struct {
	next atomic.Uint32 // index of the instance to try first
}

// ensureReplicated returns once the bills before the position are on another
// disk or, in solo mode, in the memory of a witness. It never fails in a zone
// without other instances: there, tokens stranded by a disk loss stay so until
// dissolution.
func (h *Holder) ensureReplicated(ctx context.Context, l *ledger.Ledger, position uint64, bills []*wire.Bill) error {
	if _, solo := h.progress.state(position); !solo || len(bills) == 0 || len(h.cfg.LocalInstances) == 0 {
		return nil
	}
	record, err := ledger.EncodeBills(bills)
	if err != nil {
		return err
	}
	request := &wire.CopyRequest{Zone: h.cfg.Zone, Epoch: l.Epoch(), Position: position - 1, Records: [][]byte{record}}
	err = eris.Wrap(fault.Unavailable, "no witness available")
	for range h.cfg.LocalInstances {
		first := h.witnesses.next.Load()
		name := h.cfg.LocalInstances[int(first)%len(h.cfg.LocalInstances)]
		if err = h.callWitness(ctx, name, request); err == nil || ctx.Err() != nil {
			break
		}
		h.witnesses.next.CompareAndSwap(first, first+1)
	}
	if err != nil {
		h.cfg.Logger.Warn("bills have neither a copy nor a witness", zap.Int("bills", len(bills)), zap.Error(err))
	}
	return err
}

func (h *Holder) callWitness(ctx context.Context, name string, request *wire.CopyRequest) error {
	ctx, cancel := context.WithTimeout(ctx, witnessTimeout)
	defer cancel()
	reply, err := h.cfg.RetainBills(ctx, name, request)
	if err != nil {
		return eris.Wrapf(fault.Unavailable, "witness %s: %v", name, err)
	}
	return reply.Fault.Err()
}

// handoverInstances returns the instances whose handover frees stranded tokens.
// If there are witnesses, the holder retains nothing that they lack.
func (h *Holder) handoverInstances() []string {
	names := h.cfg.Instances()
	if len(h.cfg.LocalInstances) == 0 {
		return names
	}
	var others []string
	for _, name := range names {
		if name != h.cfg.Name {
			others = append(others, name)
		}
	}
	return others
}
