package engine

import (
	"net/http"
	"strings"
	"time"

	"github.com/papayapond/papayapond/internal/host"
)

// order is an order to the engine.
type order struct {
	Request string `json:"request"`
	Verb    string `json:"verb"`    // load, unload or role
	Subject string `json:"subject"` // a model, adapter or version; or a role
	Fence   uint64 `json:"fence"`
	Issuer  string `json:"issuer,omitempty"`
}

// handleOrder serves POST /v1/orders. With fencing, it rejects an order whose
// fencing token is lower than the highest one seen; the same token is a retry.
func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	if key := e.cfg.OrderKey; key != "" && strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ") != key {
		replyError(w, http.StatusUnauthorized, "unauthorized", "bearer token is missing or wrong")
		return
	}
	var o order
	if err := readJSON(r, &o); err != nil {
		replyError(w, http.StatusBadRequest, "malformed", err.Error())
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.Fence < e.fence && !e.cfg.IgnoreFence {
		host.Reply(w, http.StatusConflict, map[string]any{
			"error": map[string]string{"code": "fenced", "type": "fenced", "message": "fencing token is stale"},
			"fence": e.fence,
		})
		return
	}
	switch {
	case o.Subject == "":
		replyError(w, http.StatusBadRequest, "malformed", "subject is empty")
		return
	case o.Verb == "load":
		e.loadModel(o.Subject)
	case o.Verb == "unload":
		delete(e.models, o.Subject)
	case o.Verb == "role":
		e.role = o.Subject
	default:
		replyError(w, http.StatusBadRequest, "malformed", "verb must be load, unload or role")
		return
	}
	e.fence = max(e.fence, o.Fence)
	e.orders = append(e.orders, o)
	host.Reply(w, http.StatusOK, map[string]any{"request": o.Request, "fence": e.fence})
}

// loadModel starts loading a model, which is ready after LoadTime. The caller
// holds e.mu.
func (e *Engine) loadModel(model string) {
	if _, ok := e.models[model]; ok {
		return
	}
	e.models[model] = e.cfg.LoadTime == 0
	time.AfterFunc(e.cfg.LoadTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if _, ok := e.models[model]; ok {
			e.models[model] = true
		}
	})
}

// listOrders serves GET /v1/orders, the executed orders from oldest to newest.
func (e *Engine) listOrders(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	orders := append([]order{}, e.orders...)
	e.mu.Unlock()
	host.Reply(w, http.StatusOK, orders)
}
