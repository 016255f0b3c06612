package holder

import (
	"context"

	"github.com/papayapond/papayapond/internal/ledger"
	"github.com/papayapond/papayapond/internal/wire"
)

// seeder asks for the first rights of accounts. Their amount is decided by the
// log. It reads the pools only after a change of the configuration.
type seeder struct {
	*Holder
	version uint64 // configuration whose accounts all have rights here
}

// seed asks for the first rights of the accounts that have none here.
func (s *seeder) seed(ctx context.Context, l *ledger.Ledger) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := s.cfg.Read(call, &wire.ReadRequest{Stale: true})
	if err != nil || reply.Fault != nil || reply.Version == s.version || s.closing.Load() {
		return
	}
	left := false
	for _, pool := range s.readPools(ctx, &wire.ReadRequest{Stale: true, Pools: true}) {
		if _, ok := pool.Zones[s.cfg.Zone]; ok || pool.Unassigned == 0 {
			continue
		}
		call, cancel := context.WithTimeout(ctx, grantWait)
		granted := s.ask(call, l, pool.Account, 0, 0)
		cancel()
		if left = left || !granted; ctx.Err() != nil {
			return
		}
	}
	if !left {
		s.version = reply.Version
	}
}
