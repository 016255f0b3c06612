package reserver

import (
	"slices"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/wire"
)

// keepLimit bounds the bills that are kept per holder, in bytes.
const keepLimit = 8 << 20

// keeper holds the bills that a ledger in solo mode has on one disk only.
type keeper struct {
	entries []kept
	size    int
	lost    uint64 // bills that were dropped because of the bound
	over    uint64 // epochs before this one have been handed over
}

type kept struct {
	source   source
	position uint64
	bill     *wire.Bill
	size     int
}

// keep stores the bills of a solo reply, and drops those that have been
// copied. The copied position counts for the epoch of the request only, since
// the journal of a later epoch may lack the records. A duplicate is kept too,
// since the reply to its first settle may have been lost. It fails with
// fault.Fenced if the kept bills of the epoch have been handed over.
func (s *sender) keep(from source, request *wire.SettleRequest, reply *wire.SettleReply) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := &s.kept
	k.remove(func(e kept) bool { return e.source.epoch == from.epoch && e.position <= reply.Copied })
	if !reply.Solo || reply.Position <= reply.Copied {
		return nil
	}
	if from.epoch < k.over {
		return eris.Wrapf(fault.Fenced, "epoch %d of %s has been replaced", from.epoch, s.holder)
	}
	for i, bill := range request.Bills {
		if reply.Outcomes[i] == wire.Outcome_OUTCOME_BILLED || reply.Outcomes[i] == wire.Outcome_OUTCOME_DUPLICATE {
			k.add(kept{source: from, position: reply.Position, bill: bill, size: proto.Size(bill)})
		}
	}
	return nil
}

// RetainBills keeps bills that a holder has on its disk only, up to the journal
// position, until the holder reports that they have been copied or they are
// handed over. It fails with fault.Fenced if those of the epoch have been.
func (r *Reserver) RetainBills(holder string, epoch, position uint64, bills []*wire.Bill) error {
	s := r.sender(holder)
	h := r.cfg.Holding()
	from := source{holder: holder, instance: h.Instance, incarnation: h.Incarnation, epoch: epoch}
	outcomes := make([]wire.Outcome, len(bills))
	for i := range outcomes {
		outcomes[i] = wire.Outcome_OUTCOME_BILLED
	}
	return s.keep(from, &wire.SettleRequest{Bills: bills}, &wire.SettleReply{Outcomes: outcomes, Solo: true, Position: position})
}

// add keeps a bill, without its answer if there is no room for it. The oldest
// bills are dropped if there is no room at all.
func (k *keeper) add(e kept) {
	if k.size+e.size > keepLimit && len(e.bill.Answer) > 0 {
		e.bill = proto.CloneOf(e.bill)
		e.bill.Answer = nil
		e.size = proto.Size(e.bill)
	}
	for k.size+e.size > keepLimit && len(k.entries) > 0 {
		k.size -= k.entries[0].size
		k.entries = k.entries[1:]
		k.lost++
	}
	k.entries = append(k.entries, e)
	k.size += e.size
}

func (k *keeper) remove(drop func(kept) bool) {
	k.entries = slices.DeleteFunc(k.entries, drop)
	k.size = 0
	for _, e := range k.entries {
		k.size += e.size
	}
}

// RetainedBills returns the bills that a holder has settled in solo mode before the
// epoch and not yet reported as copied, as one request per epoch and
// incarnation. From then on no more such bills are kept, nor reported as
// settled. The caller adds the zone and the start of the incarnation. The
// second result is the number of bills that were dropped because too many were
// kept; a caller must not present the requests as complete if it isn't 0.
func (r *Reserver) RetainedBills(holder string, epoch uint64) ([]*wire.KeepRequest, uint64) {
	s := r.sender(holder)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kept.over = max(s.kept.over, epoch)
	var requests []*wire.KeepRequest
	bySource := map[source]*wire.KeepRequest{}
	for _, e := range s.kept.entries {
		if e.source.epoch >= epoch {
			continue
		}
		request := bySource[e.source]
		if request == nil {
			request = &wire.KeepRequest{Holding: e.source.holding(), Epoch: e.source.epoch}
			bySource[e.source] = request
			requests = append(requests, request)
		}
		request.Bills = append(request.Bills, e.bill)
	}
	return requests, s.kept.lost
}

// DropRetained drops the kept bills of a holder for the epoch, after a Keep call has
// handed them over.
func (r *Reserver) DropRetained(holder string, epoch uint64) {
	s := r.sender(holder)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kept.remove(func(e kept) bool { return e.source.epoch == epoch })
}

// poll asks the holders whose bills are kept for the copied position, with a
// request without bills.
func (r *Reserver) poll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.senders {
		s.mu.Lock()
		if n := len(s.kept.entries); n > 0 && s.flights == 0 && !s.polling {
			s.polling = true
			go r.pollOne(s, s.kept.entries[n-1].source)
		}
		s.mu.Unlock()
	}
}

func (r *Reserver) pollOne(s *sender, from source) {
	request := &wire.SettleRequest{Holding: from.holding(), Epoch: from.epoch}
	reply, err := r.callSettle(s, request)
	if err == nil {
		_ = s.keep(from, request, reply) // without bills it only drops some
	}
	s.mu.Lock()
	s.polling = false
	s.mu.Unlock()
}
