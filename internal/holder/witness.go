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

// witnesses are the other entry instances of the zone. In solo mode one of
// them keeps the bills that a caller hears of through this instance, which
// would lose them with its disk.
type witnesses struct {
	next atomic.Uint32 // the instance that is asked first
}

// secure returns when bills of this zone before the position are on another
// disk, or in solo mode in the memory of a witness. In a zone without another
// instance it never fails: there the rights that a lost disk strands wait for
// the dissolution.
func (h *Holder) secure(ctx context.Context, l *ledger.Ledger, position uint64, bills []*wire.Bill) error {
	if _, solo := h.progress.state(position); !solo || len(bills) == 0 || len(h.cfg.Neighbors) == 0 {
		return nil
	}
	record, err := ledger.EncodeBills(bills)
	if err != nil {
		return err
	}
	request := &wire.CopyRequest{Zone: h.cfg.Zone, Epoch: l.Epoch(), Position: position - 1, Records: [][]byte{record}}
	err = eris.Wrap(fault.Unavailable, "no witness")
	for range h.cfg.Neighbors {
		first := h.witnesses.next.Load()
		name := h.cfg.Neighbors[int(first)%len(h.cfg.Neighbors)]
		if err = h.callWitness(ctx, name, request); err == nil || ctx.Err() != nil {
			break
		}
		h.witnesses.next.CompareAndSwap(first, first+1)
	}
	if err != nil {
		h.cfg.Logger.Warn("No copy and no witness for bills.", zap.Int("bills", len(bills)), zap.Error(err))
	}
	return err
}

func (h *Holder) callWitness(ctx context.Context, name string, request *wire.CopyRequest) error {
	ctx, cancel := context.WithTimeout(ctx, witnessTimeout)
	defer cancel()
	reply, err := h.cfg.Witness(ctx, name, request)
	if err != nil {
		return eris.Wrapf(fault.Unavailable, "witness %s: %v", name, err)
	}
	return reply.Fault.Err()
}

// provers returns the instances whose proof frees stranded rights. Where there
// are witnesses, the holder has nothing that the others lack.
func (h *Holder) provers() []string {
	names := h.cfg.Instances()
	if len(h.cfg.Neighbors) == 0 {
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
