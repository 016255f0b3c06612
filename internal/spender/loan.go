package spender

import "context"

// borrow reserves tokens with the help of other instances. It returns nil if
// they don't have enough.
func (s *Spender) borrow(ctx context.Context, name string, a *account, tokens int64) *Reservation {
	if s.cfg.Borrow == nil {
		return nil
	}
	for range maxLoans {
		s.mu.Lock()
		missing := a.used + tokens - s.bound(a)
		if missing <= 0 {
			defer s.mu.Unlock()
			return s.take(a, tokens)
		}
		s.mu.Unlock()
		if !s.cfg.Borrow(ctx, name, missing) {
			return nil
		}
	}
	return nil
}

// Lend takes tokens out of the allowance of an account for another instance, all
// or none, and reports whether it did.
func (s *Spender) Lend(name string, tokens int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.account(name)
	a.largest = max(a.largest, tokens)
	if s.closed || a.used+tokens > s.bound(a) {
		return false
	}
	a.used += tokens
	return true
}

// Credit adds tokens that another instance has taken out of its allowance.
func (s *Spender) Credit(name string, tokens int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.account(name).used -= tokens
}

// TakeSurplus takes out and returns what is borrowed beyond the use, of the accounts
// for which keep is false.
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

// Drain takes out and returns all that may still be spent.
func (s *Spender) Drain() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	amounts := map[string]int64{}
	for name, a := range s.accounts {
		if rest := s.bound(a) - a.used; rest > 0 {
			amounts[name] = rest
			a.used += rest
		}
	}
	return amounts
}
