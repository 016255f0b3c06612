package engine

import (
	"net/http"
	"strings"
	"time"

	"github.com/papayapond/papayapond/internal/host"
)

// order is one order to the engine.
type order struct {
	Request string `json:"request"`
	Verb    string `json:"verb"`    // load, unload or role
	Subject string `json:"subject"` // a model, adapter or version; or a role
	Fence   uint64 `json:"fence"`
	Issuer  string `json:"issuer,omitempty"`
}

// order obeys an order. An engine with fencing refuses an order whose number
// is lower than the highest one that it has seen; the same number is a repeat.
func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	if key := e.cfg.OrderKey; key != "" && strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ") != key {
		refuse(w, http.StatusUnauthorized, "unauthorized", "the key is missing or wrong")
		return
	}
	var o order
	if err := read(r, &o); err != nil {
		refuse(w, http.StatusBadRequest, "malformed", err.Error())
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.Fence < e.fence && !e.cfg.IgnoreFence {
		host.Reply(w, http.StatusConflict, map[string]any{
			"error": map[string]string{"code": "fenced", "type": "fenced", "message": "the fencing number is old"},
			"fence": e.fence,
		})
		return
	}
	switch {
	case o.Subject == "":
		refuse(w, http.StatusBadRequest, "malformed", "subject is empty")
		return
	case o.Verb == "load":
		e.fetch(o.Subject)
	case o.Verb == "unload":
		delete(e.models, o.Subject)
	case o.Verb == "role":
		e.role = o.Subject
	default:
		refuse(w, http.StatusBadRequest, "malformed", "verb must be load, unload or role")
		return
	}
	e.fence = max(e.fence, o.Fence)
	e.orders = append(e.orders, o)
	host.Reply(w, http.StatusOK, map[string]any{"request": o.Request, "fence": e.fence})
}

// fetch loads a model, which is usable after LoadTime. The caller holds the
// lock.
func (e *Engine) fetch(model string) {
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

// history shows the orders that were obeyed, in their order.
func (e *Engine) history(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	orders := append([]order{}, e.orders...)
	e.mu.Unlock()
	host.Reply(w, http.StatusOK, orders)
}
