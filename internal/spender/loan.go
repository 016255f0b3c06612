package spender

import "context"

// borrow reserves tokens after borrowing the shortfall. It returns nil if the
// other instances don't have enough.
func (s *Spender) borrow(ctx context.Context, name string, a *account, tokens int64) *Reservation {
	if s.cfg.Borrow == nil {
		return nil
	}
	for range maxLoans {
		r, shortfall := s.tryReserve(a, tokens)
		if r != nil {
			return r
		}
		if !s.cfg.Borrow(ctx, name, shortfall) {
			return nil
		}
	}
	return nil
}

// Lend deducts tokens from the allowance of an account for another instance,
// all or none, and reports success.
func (s *Spender) Lend(name string, tokens int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.account(name)
	a.largest = max(a.largest, tokens)
	if s.closed || a.used+tokens > s.effectiveLimit(a) {
		return false
	}
	a.used += tokens
	return true
}

// Credit adds tokens that another instance has deducted from its allowance.
func (s *Spender) Credit(name string, tokens int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.account(name).used -= tokens
}

// TakeSurplus deducts and returns the tokens borrowed beyond current use, for
// accounts for which keep is false.
func (s *Spender) TakeSurplus(keep func(account string) bool) map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	amounts := map[string]int64{}
	for name, a := range s.accounts {
		if a.used < 0 && !keep(name) {
			amounts[name] = -a.used
			a.used = 0
		}
	}
	return amounts
}

// Drain deducts and returns all tokens that may still be spent. Nothing is lent
// after it.
func (s *Spender) Drain() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	amounts := map[string]int64{}
	for name, a := range s.accounts {
		if rest := s.effectiveLimit(a) - a.used; rest > 0 {
			amounts[name] = rest
			a.used += rest
		}
	}
	return amounts
}
