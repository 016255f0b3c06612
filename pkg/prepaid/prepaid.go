package prepaid

// Prepaid is a client account with a prepaid budget.
type Prepaid struct {
	Name string   `json:"name"`
	Keys []string `json:"keys"`
	// Priority is the priority of the account's requests; nil selects that of
	// the route.
	Priority *int `json:"priority,omitempty"`
	// Tokens is the budget; nil means unlimited.
	Tokens *int64 `json:"tokens,omitempty"`
}

// WithTokens returns a copy with a different budget.
func (p Prepaid) WithTokens(tokens int64) Prepaid {
	p.Tokens = &tokens
	return p
}
