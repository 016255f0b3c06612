package operator

import (
	"net/http"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/issuer"
	"github.com/papayapond/papayapond/internal/wire"
)

// pending is the outcome returned for an order that has none yet.
const pending = "pending"

// listedOrder is one order in the response of orders.
type listedOrder struct {
	Target    string     `json:"target"`
	Verb      string     `json:"verb"`
	Subject   string     `json:"subject"`
	Request   string     `json:"request"`
	Forced    bool       `json:"forced"`
	Fence     uint64     `json:"fence"`
	Time      time.Time  `json:"time"`
	Attempts  uint64     `json:"attempts"`
	Outcome   string     `json:"outcome"`
	Detail    string     `json:"detail,omitempty"`
	Concluded *time.Time `json:"concluded,omitempty"`
}

// order commits an order to a target with the next fencing token. The leader of
// the control members sends it to the target.
func (o *Operator) order(c *call) error {
	var body struct {
		Target  string `json:"target"`
		Verb    string `json:"verb"`
		Subject string `json:"subject"`
		Request string `json:"request"`
		Forced  bool   `json:"forced"`
	}
	if err := decodeBody(c, &body); err != nil {
		return err
	}
	if body.Target == "" || body.Subject == "" || body.Request == "" {
		return eris.Wrap(fault.Malformed, "target, verb, subject and request are required")
	}
	if !slices.Contains([]string{issuer.Load, issuer.Unload, issuer.Role}, body.Verb) {
		return eris.Wrapf(fault.Malformed, "verb: got %q, want load, unload or role", body.Verb)
	}
	reply, err := o.propose(c, &wire.Command{Change: &wire.Command_Order{Order: &wire.Order{
		Target: body.Target, Verb: body.Verb, Subject: body.Subject, Request: body.Request, Forced: body.Forced}}})
	if err != nil {
		return err
	}
	var result wire.OrderResult
	if err := proto.Unmarshal(reply.Result, &result); err != nil {
		return eris.Wrap(err, "order")
	}
	writeJSON(c, http.StatusOK, struct {
		Fence   uint64 `json:"fence"`
		Outcome string `json:"outcome"`
		Detail  string `json:"detail,omitempty"`
	}{result.Fence, outcomeOrPending(result.Outcome), result.Detail})
	return nil
}

// orders returns the orders of the last 24 hours, oldest first. The query
// parameters target and request filter the list.
func (o *Operator) orders(c *call) error {
	state, err := o.cfg.Read(c.request.Context(), &wire.ReadRequest{Orders: true})
	if err != nil {
		return err
	}
	target, request := c.request.URL.Query().Get("target"), c.request.URL.Query().Get("request")
	entries := []listedOrder{}
	for _, s := range state.Orders {
		order := s.Order
		if target != "" && order.Target != target || request != "" && order.Request != request {
			continue
		}
		e := listedOrder{
			Target: order.Target, Verb: order.Verb, Subject: order.Subject, Request: order.Request, Forced: order.Forced,
			Fence: s.Fence, Time: time.Unix(0, s.Time).UTC(), Attempts: s.Attempts, Outcome: outcomeOrPending(s.Outcome), Detail: s.Detail,
		}
		if s.Outcome != "" {
			at := time.Unix(0, s.Concluded).UTC()
			e.Concluded = &at
		}
		entries = append(entries, e)
	}
	writeJSON(c, http.StatusOK, struct {
		Orders []listedOrder `json:"orders"`
	}{entries})
	return nil
}

func outcomeOrPending(outcome string) string {
	if outcome == "" {
		return pending
	}
	return outcome
}
