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

// billLimit bounds the bills of one zone in a statement.
const billLimit = 1000

// line is one account in the books. Amounts are in tokens.
type line struct {
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
	// Stopped tells that a violated invariant has stopped the account in the
	// log or in the ledger of a zone.
	Stopped bool `json:"stopped"`
}

func (o *Operator) books(c *call) error {
	state, err := o.cfg.Read(c.request.Context(), &wire.ReadRequest{Pools: true})
	if err != nil {
		return err
	}
	replies := o.cfg.Tally(c.request.Context(), &wire.TallyRequest{})
	lines := []line{}
	for _, p := range state.Pools {
		lines = append(lines, newLine(p, replies))
	}
	for _, b := range state.Balances {
		i := slices.IndexFunc(lines, func(l line) bool { return l.Account == b.Account })
		if i >= 0 {
			lines[i].Billed, lines[i].Refundable = b.Billed, b.Refundable
		}
	}
	write(c, http.StatusOK, struct {
		Phase    string   `json:"phase"`
		Version  uint64   `json:"version"`
		Missing  []string `json:"missing"`
		Accounts []line   `json:"accounts"`
	}{state.Phase, state.Version, o.missing(replies), lines})
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
	replies := o.cfg.Tally(c.request.Context(), &wire.TallyRequest{Account: name, Bills: true, Limit: billLimit})
	type entry struct {
		Request string `json:"request"`
		Zone    string `json:"zone"`
		Model   string `json:"model"`
		Target  string `json:"target"`
		Prompt  int64  `json:"prompt"`
		Output  int64  `json:"output"`
		Amount  int64  `json:"amount"`
		Time    int64  `json:"time"`
	}
	bills := []entry{}
	more := false
	for _, r := range replies {
		more = more || r.More
		for _, b := range r.Bills {
			bills = append(bills, entry{b.Request, b.Zone, b.Model, b.Target, b.Prompt, b.Output, b.Amount, b.Time})
		}
	}
	slices.SortFunc(bills, func(a, b entry) int {
		if a.Time != b.Time {
			return int(min(1, max(-1, a.Time-b.Time)))
		}
		return strings.Compare(a.Request, b.Request)
	})
	write(c, http.StatusOK, struct {
		line
		Missing []string `json:"missing"`
		Bills   []entry  `json:"bills"`
		More    bool     `json:"more"`
	}{newLine(state.Pools[i], replies), o.missing(replies), bills, more})
	return nil
}

func (o *Operator) fleet(c *call) error {
	list, err := o.cfg.List(c.request.Context())
	if err != nil {
		return err
	}
	// A stale read answers in a zone without the quorum too.
	state, err := o.cfg.Read(c.request.Context(), &wire.ReadRequest{Stale: true})
	if err != nil {
		return err
	}
	write(c, http.StatusOK, struct {
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

func newLine(p *wire.Pool, replies map[string]*wire.TallyReply) line {
	l := line{Account: p.Account, Prepaid: p.Prepaid, Topups: p.Topups, Unassigned: p.Unassigned, Refundable: p.Refunded, Stopped: p.Stopped}
	for _, assigned := range p.Zones {
		l.Assigned += assigned
	}
	for _, r := range replies {
		for _, t := range r.Tallies {
			if t.Account == p.Account {
				l.Free += t.Free
				l.Allowances += t.Allowances
				l.Billed += t.Billed
				l.Stranded += t.Stranded
				l.Requests += t.Requests
				l.Stopped = l.Stopped || t.Stopped
			}
		}
	}
	return l
}

// missing returns the zones whose ledger didn't answer.
func (o *Operator) missing(replies map[string]*wire.TallyReply) []string {
	missing := []string{}
	for _, z := range o.cfg.Zones {
		if replies[z] == nil {
			missing = append(missing, z)
		}
	}
	return missing
}
