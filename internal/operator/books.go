package operator

import (
	"net/http"
	"slices"
	"strings"

	"github.com/gorilla/mux"
	"github.com/rotisserie/eris"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/wire"
)

// maxBills is the maximum number of bills per zone in a statement.
const maxBills = 1000

// summary holds the totals of one account. Amounts are in tokens.
type summary struct {
	Account    string `json:"account"`
	Prepaid    int64  `json:"prepaid"`
	Topups     int64  `json:"topups"`
	Unassigned int64  `json:"unassigned"`
	Assigned   int64  `json:"assigned"`
	Free       int64  `json:"free"`
	Allowances int64  `json:"allowances"`
	Billed     int64  `json:"billed"`
	Stranded   int64  `json:"stranded"`
	Refundable int64  `json:"refundable"`
	Requests   uint64 `json:"requests"`
	// Stopped reports that the account was stopped in the log or in the ledger of
	// a zone because an invariant was violated.
	Stopped bool `json:"stopped"`
}

func (o *Operator) books(c *call) error {
	state, err := o.cfg.Read(c.request.Context(), &wire.ReadRequest{Pools: true})
	if err != nil {
		return err
	}
	replies := o.cfg.Tally(c.request.Context(), &wire.TallyRequest{})
	summaries := []summary{}
	for _, p := range state.Pools {
		summaries = append(summaries, newSummary(p, replies))
	}
	for _, b := range state.Balances {
		i := slices.IndexFunc(summaries, func(s summary) bool { return s.Account == b.Account })
		if i >= 0 {
			summaries[i].Billed, summaries[i].Refundable = b.Billed, b.Refundable
		}
	}
	writeJSON(c, http.StatusOK, struct {
		Phase    string    `json:"phase"`
		Version  uint64    `json:"version"`
		Missing  []string  `json:"missing"`
		Accounts []summary `json:"accounts"`
	}{state.Phase, state.Version, o.missing(replies), summaries})
	return nil
}

func (o *Operator) statement(c *call) error {
	name := mux.Vars(c.request)["name"]
	state, err := o.cfg.Read(c.request.Context(), &wire.ReadRequest{Pools: true})
	if err != nil {
		return err
	}
	i := slices.IndexFunc(state.Pools, func(p *wire.Pool) bool { return p.Account == name })
	if i < 0 {
		return eris.Wrapf(fault.Missing, "account %s", name)
	}
	replies := o.cfg.Tally(c.request.Context(), &wire.TallyRequest{Account: name, Bills: true, Limit: maxBills})
	type bill struct {
		Request string `json:"request"`
		Zone    string `json:"zone"`
		Model   string `json:"model"`
		Target  string `json:"target"`
		Prompt  int64  `json:"prompt"`
		Output  int64  `json:"output"`
		Amount  int64  `json:"amount"`
		Time    int64  `json:"time"`
	}
	bills := []bill{}
	more := false
	for _, r := range replies {
		more = more || r.More
		for _, b := range r.Bills {
			bills = append(bills, bill{b.Request, b.Zone, b.Model, b.Target, b.Prompt, b.Output, b.Amount, b.Time})
		}
	}
	slices.SortFunc(bills, func(a, b bill) int {
		if a.Time != b.Time {
			return int(min(1, max(-1, a.Time-b.Time)))
		}
		return strings.Compare(a.Request, b.Request)
	})
	writeJSON(c, http.StatusOK, struct {
		summary
		Missing []string `json:"missing"`
		Bills   []bill   `json:"bills"`
		More    bool     `json:"more"`
	}{newSummary(state.Pools[i], replies), o.missing(replies), bills, more})
	return nil
}

func (o *Operator) fleet(c *call) error {
	list, err := o.cfg.List(c.request.Context())
	if err != nil {
		return err
	}
	// A stale read also works in a zone that can't reach the quorum.
	state, err := o.cfg.Read(c.request.Context(), &wire.ReadRequest{Stale: true})
	if err != nil {
		return err
	}
	writeJSON(c, http.StatusOK, struct {
		Version   uint64         `json:"version"`
		Phase     string         `json:"phase"`
		Leader    string         `json:"leader"`
		Term      uint64         `json:"term"`
		Index     uint64         `json:"index"`
		Members   []string       `json:"members"`
		Instances []*wire.Peer   `json:"instances"`
		Targets   []*wire.Target `json:"targets"`
	}{state.Version, state.Phase, state.Leader, state.Term, state.Index, state.Members, list.Peers, list.Targets})
	return nil
}

// newSummary adds up the tallies of an account in all zones.
func newSummary(p *wire.Pool, replies map[string]*wire.TallyReply) summary {
	s := summary{Account: p.Account, Prepaid: p.Prepaid, Topups: p.Topups, Unassigned: p.Unassigned, Refundable: p.Refunded, Stopped: p.Stopped}
	for _, assigned := range p.Zones {
		s.Assigned += assigned
	}
	for _, r := range replies {
		for _, t := range r.Tallies {
			if t.Account == p.Account {
				s.Free += t.Free
				s.Allowances += t.Allowances
				s.Billed += t.Billed
				s.Stranded += t.Stranded
				s.Requests += t.Requests
				s.Stopped = s.Stopped || t.Stopped
			}
		}
	}
	return s
}

// missing returns the zones whose ledgers did not respond.
func (o *Operator) missing(replies map[string]*wire.TallyReply) []string {
	missing := []string{}
	for _, z := range o.cfg.Zones {
		if replies[z] == nil {
			missing = append(missing, z)
		}
	}
	return missing
}
