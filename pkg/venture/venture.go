package venture

import (
	"slices"
	"time"

	"github.com/papayapond/papayapond/pkg/account"
	"github.com/papayapond/papayapond/pkg/group"
	"github.com/papayapond/papayapond/pkg/model"
	"github.com/papayapond/papayapond/pkg/service"
)

// DefaultReserve is the reserve of a venture that doesn't specify one.
const DefaultReserve = 0.25

// Venture is one version of the configuration of a joint venture.
type Venture struct {
	// Version is the number of this version, above 0.
	Version uint64 `toml:"version"`
	// Replaces is the version that this one replaces; 0 for the first.
	Replaces uint64 `toml:"replaces"`
	// Name is the name of the venture. It is the same in all versions.
	Name string `toml:"name"`
	// Start and End delimit the term.
	Start time.Time `toml:"start"`
	End   time.Time `toml:"end"`
	// Reserve is the share of the last grant of a zone that is reserved for a
	// partition, from 0 to 1.
	Reserve float64 `toml:"reserve"`

	Operators  []Operator        `toml:"operators"`
	Models     []model.Model     `toml:"models"`
	Services   []service.Service `toml:"services"`
	Groups     []group.Group     `toml:"groups"`
	Accounts   []account.Account `toml:"accounts"`
	Objectives []Objective       `toml:"objectives"`
}

// Operator is a person who may change the configuration.
type Operator struct {
	// Name is unique among the operators.
	Name string `toml:"name"`
	// Key is the hash of the operator's key, in the format of account.Hash.
	Key string `toml:"key"`
}

// New returns the first version of a venture with the default reserve.
func New(name string, start, end time.Time) Venture {
	return Venture{Version: 1, Name: name, Start: start, End: end, Reserve: DefaultReserve}
}

// WithVersion returns a copy with a different version that replaces the given
// one.
func (v Venture) WithVersion(version, replaces uint64) Venture {
	v = v.clone()
	v.Version, v.Replaces = version, replaces
	return v
}

// WithTerm returns a copy with a different start and end.
func (v Venture) WithTerm(start, end time.Time) Venture {
	v = v.clone()
	v.Start, v.End = start, end
	return v
}

// WithReserve returns a copy with a different reserve, from 0 to 1.
func (v Venture) WithReserve(reserve float64) Venture {
	v = v.clone()
	v.Reserve = reserve
	return v
}

// WithOperator returns a copy with an additional operator, given the hash of
// the operator's key.
func (v Venture) WithOperator(name, hash string) Venture {
	v = v.clone()
	v.Operators = append(v.Operators, Operator{Name: name, Key: hash})
	return v
}

// WithModels returns a copy with additional models.
func (v Venture) WithModels(models ...model.Model) Venture {
	v = v.clone()
	v.Models = append(v.Models, models...)
	return v
}

// WithServices returns a copy with additional services.
func (v Venture) WithServices(services ...service.Service) Venture {
	v = v.clone()
	v.Services = append(v.Services, services...)
	for i := range v.Services {
		v.Services[i].Calls = slices.Clone(v.Services[i].Calls)
	}
	return v
}

// WithGroups returns a copy with additional target groups.
func (v Venture) WithGroups(groups ...group.Group) Venture {
	v = v.clone()
	v.Groups = append(v.Groups, groups...)
	return v
}

// WithAccounts returns a copy with additional client accounts.
func (v Venture) WithAccounts(accounts ...account.Account) Venture {
	v = v.clone()
	for _, a := range accounts {
		v.Accounts = append(v.Accounts, a.WithBudget(a.Budget))
	}
	return v
}

// WithObjectives returns a copy with additional objectives.
func (v Venture) WithObjectives(objectives ...Objective) Venture {
	v = v.clone()
	v.Objectives = append(v.Objectives, objectives...)
	return v
}

func (v Venture) clone() Venture {
	v.Operators = slices.Clone(v.Operators)
	v.Models = slices.Clone(v.Models)
	v.Services = slices.Clone(v.Services)
	for i, s := range v.Services {
		v.Services[i] = s.WithPrice(s.Price)
	}
	v.Groups = slices.Clone(v.Groups)
	v.Accounts = slices.Clone(v.Accounts)
	for i, a := range v.Accounts {
		v.Accounts[i] = a.WithBudget(a.Budget)
	}
	v.Objectives = slices.Clone(v.Objectives)
	return v
}
