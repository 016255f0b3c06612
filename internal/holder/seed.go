package holder

import (
	"context"

	"github.com/papayapond/papayapond/internal/ledger"
	"github.com/papayapond/papayapond/internal/wire"
)

// seeder requests the initial grants of accounts, whose amount the replicated
// log decides. It reads the pools only after a configuration change.
type seeder struct {
	*Holder
	version uint64 // configuration version whose accounts all have a grant in this zone
}

// seed requests the initial grants of accounts that have none in this zone.
func (s *seeder) seed(ctx context.Context, l *ledger.Ledger) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := s.cfg.Read(call, &wire.ReadRequest{Stale: true})
	if err != nil || reply.Fault != nil || reply.Version == s.version || s.closing.Load() {
		return
	}
	retry := false
	for _, pool := range s.readPools(ctx, &wire.ReadRequest{Stale: true, Pools: true}) {
		if _, ok := pool.Zones[s.cfg.Zone]; ok || pool.Unassigned == 0 {
			continue
		}
		call, cancel := context.WithTimeout(ctx, grantTimeout)
		granted := s.acquireTokens(call, l, pool.Account, 0, 0)
		cancel()
		if retry = retry || !granted; ctx.Err() != nil {
			return
		}
	}
	if !retry {
		s.version = reply.Version
	}
}
