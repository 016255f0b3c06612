package account

import "slices"

// DefaultWeight is the weight of an account that doesn't specify one.
const DefaultWeight = 1

// Account is a client account.
type Account struct {
	// Name is unique among the accounts of the venture.
	Name string `toml:"name"`
	// Budget is the prepaid budget in tokens. It never decreases from one
	// version of a configuration to the next.
	Budget int64 `toml:"budget"`
	// Weight is the share of the account in a full queue, relative to the
	// other accounts.
	Weight int64 `toml:"weight"`
	// Keys are the hashes of the API keys; see Hash.
	Keys []string `toml:"keys"`
	// Models are the names of the models that the account may use.
	Models []string `toml:"models"`
	// Services are the names of the services that the account may call.
	Services []string `toml:"services"`
	// Groups are the names of the target groups that may serve the account.
	Groups []string `toml:"groups"`
	// Topups are additions to the budget.
	Topups []Topup `toml:"topups"`
}

// Topup is an addition to a budget. Once accepted it is never modified or
// removed.
type Topup struct {
	// Name is unique among the top-ups of all accounts of the venture.
	Name string `toml:"name"`
	// Tokens is the amount in tokens, above 0.
	Tokens int64 `toml:"tokens"`
}

// New returns an account with a prepaid budget in tokens and the default
// weight.
func New(name string, budget int64) Account {
	return Account{Name: name, Budget: budget, Weight: DefaultWeight}
}

// WithBudget returns a copy with a different prepaid budget in tokens.
func (a Account) WithBudget(tokens int64) Account {
	a = a.clone()
	a.Budget = tokens
	return a
}

// WithWeight returns a copy with a different weight.
func (a Account) WithWeight(weight int64) Account {
	a = a.clone()
	a.Weight = weight
	return a
}

// WithKeys returns a copy that also accepts the keys with the given hashes.
func (a Account) WithKeys(hashes ...string) Account {
	a = a.clone()
	a.Keys = append(a.Keys, hashes...)
	return a
}

// WithModels returns a copy that may also use the named models.
func (a Account) WithModels(names ...string) Account {
	a = a.clone()
	a.Models = append(a.Models, names...)
	return a
}

// WithServices returns a copy that may also call the named services.
func (a Account) WithServices(names ...string) Account {
	a = a.clone()
	a.Services = append(a.Services, names...)
	return a
}

// WithGroups returns a copy that may also be served by the named groups.
func (a Account) WithGroups(names ...string) Account {
	a = a.clone()
	a.Groups = append(a.Groups, names...)
	return a
}

// WithTopup returns a copy with one more top-up.
func (a Account) WithTopup(name string, tokens int64) Account {
	a = a.clone()
	a.Topups = append(a.Topups, Topup{Name: name, Tokens: tokens})
	return a
}

func (a Account) clone() Account {
	a.Keys = slices.Clone(a.Keys)
	a.Models = slices.Clone(a.Models)
	a.Services = slices.Clone(a.Services)
	a.Groups = slices.Clone(a.Groups)
	a.Topups = slices.Clone(a.Topups)
	return a
}
