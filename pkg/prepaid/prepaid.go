package prepaid

// Prepaid is a client account with a prepaid budget.
type Prepaid struct {
	Name string   `json:"name"`
	Keys []string `json:"keys"`
	// Priority is the rank of the requests of the account; nil leaves it to the
	// route.
	Priority *int `json:"priority,omitempty"`
	// Tokens is the budget; nil means that nothing bounds the spend.
	Tokens *int64 `json:"tokens,omitempty"`
}

// WithTokens returns the account with another budget.
func (p Prepaid) WithTokens(tokens int64) Prepaid {
	p.Tokens = &tokens
	return p
}
