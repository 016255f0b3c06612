package gateway

import (
	"encoding/json"
	"net/http"
	"slices"

	"github.com/gorilla/mux"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/wire"
)

// models serves GET /v1/models, the models that the account may use.
func (g *Gateway) models(s *requestState) error {
	type entry struct {
		ID     string `json:"id"`
		Object string `json:"object"`
		Ready  bool   `json:"ready"`
	}
	list := struct {
		Object string  `json:"object"`
		Data   []entry `json:"data"`
	}{Object: "list", Data: []entry{}}
	for _, name := range s.account.Models {
		list.Data = append(list.Data, entry{ID: name, Object: "model", Ready: len(g.cfg.ReadyTargets("", name, "")) > 0})
	}
	return writeJSON(s, list)
}

// requestStatus serves GET /v1/requests/{key}, the status of a request.
func (g *Gateway) requestStatus(s *requestState) error {
	key := mux.Vars(s.request)["key"]
	status := struct {
		Request string `json:"request"`
		Run     string `json:"run"`
		Billed  int64  `json:"billed"`
		Status  int32  `json:"status,omitempty"`
	}{Request: key, Run: "no"}
	reply, err := g.cfg.Find(s.request.Context(), &wire.FindRequest{Account: s.account.Name, Request: key})
	if err == nil && reply.Known {
		status.Run, status.Billed, status.Status = "yes", reply.Bill.Amount, reply.Bill.Status
		return writeJSON(s, status)
	}
	state, stateErr := g.cfg.Read(s.request.Context(), &wire.ReadRequest{Account: s.account.Name, Request: key})
	switch {
	case err != nil || stateErr != nil:
		status.Run = "maybe"
	case state.Claim != nil && state.Claim.Resolved && state.Claim.Outcome.GetRan():
		status.Run, status.Status = "yes", state.Claim.Outcome.Status
	case state.Claim != nil && !state.Claim.Resolved:
		status.Run = "maybe"
	}
	return writeJSON(s, status)
}

// announce serves POST /v1/targets. The key must be the one of the group that the
// target belongs to.
func (g *Gateway) announce(w http.ResponseWriter, r *http.Request) {
	s := &requestState{ResponseWriter: w, request: r, requestID: newRequestID()}
	if err := g.handleAnnouncement(s); err != nil {
		g.writeError(s, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (g *Gateway) handleAnnouncement(s *requestState) error {
	if g.cfg.Current() == nil {
		return eris.Wrap(fault.Unavailable, "no configuration received yet")
	}
	raw, err := readBody(s.request)
	if err != nil {
		return err
	}
	var t wire.Target
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(raw, &t); err != nil {
		return eris.Wrapf(fault.Malformed, "target: %v", err)
	}
	if t.Name == "" || t.Zone == "" || t.Address == "" || !slices.Contains([]string{"ready", "leaving", "gone"}, t.State) {
		return eris.Wrap(fault.Malformed, "target: name, zone, address and state (ready, leaving or gone) are required")
	}
	if _, err := g.cfg.Group(t.Name, bearer(s.request)); err != nil {
		return err
	}
	t.Time = g.cfg.Now().UnixNano()
	if err := g.cfg.Announce(s.request.Context(), &t); err != nil {
		g.cfg.Logger.Debug("no holder accepted the announcement", zap.String("target", t.Name), zap.Error(err))
	}
	return nil
}

func writeJSON(s *requestState, v any) error {
	s.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(s).Encode(v); err != nil {
		return eris.Wrap(err, "write response")
	}
	return nil
}
