package witness

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/ledger"
	"github.com/papayapond/papayapond/internal/wire"
)

// Config configures a Witness.
type Config struct {
	// Zone is the zone of this instance, and Holder the instance that runs the
	// ledger of the zone.
	Zone   string
	Holder string
	// RetainBills stores bills of the holder up to a journal position of an
	// epoch.
	RetainBills func(holder string, epoch, position uint64, bills []*wire.Bill) error
}

// Witness implements the Copy method of wire.DRPCBooksServer on an instance
// that isn't a holder. It keeps the bills in the copied records in memory.
type Witness struct {
	wire.DRPCBooksUnimplementedServer
	cfg Config
}

// New returns a witness.
func New(cfg Config) *Witness { return &Witness{cfg: cfg} }

// Copy retains the bills in journal records of the zone.
func (w *Witness) Copy(_ context.Context, request *wire.CopyRequest) (*wire.CopyReply, error) {
	end := request.Position + uint64(len(request.Records))
	if err := w.retain(request, end); err != nil {
		return &wire.CopyReply{Fault: wire.NewFault(err)}, nil
	}
	return &wire.CopyReply{Position: end}, nil
}

func (w *Witness) retain(request *wire.CopyRequest, end uint64) error {
	if request.Zone != w.cfg.Zone || len(request.Snapshot) > 0 {
		return eris.Wrapf(fault.Malformed, "copy request for zone %q: want records of this instance's zone and no snapshot", request.Zone)
	}
	bills, _, err := ledger.ExtractBills(request.Zone, nil, request.Records)
	if err != nil {
		return err
	}
	return w.cfg.RetainBills(w.cfg.Holder, request.Epoch, end, bills)
}
