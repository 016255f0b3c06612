package loader

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/papayapond/papayapond/internal/completion"
	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/orderer"
)

// Violations of the promises to callers. Each of these counts must be 0.
const (
	foreignAnswer  = "foreign answer"
	alteredAnswer  = "cut or altered answer"
	missingUsage   = "usage missing"
	wrongUsage     = "wrong usage"
	duplicateOrder = "order ran twice"
	lostOrder      = "confirmed order did not run"
	ghostOrder     = "order ran though told not run"
)

// countsTimeout bounds the query of one order service.
const countsTimeout = 5 * time.Second

// fate is what the caller was told about an order.
type fate struct {
	confirmed bool
	possible  bool // at least one attempt was not answered with "no"
}

// check compares a successful outcome with its request, and returns the
// violation or "".
func check(r request, o outcome) (violation, detail string) {
	switch r.class.name {
	case classStock:
		var a struct {
			SKU      string `json:"sku"`
			Quantity int    `json:"quantity"`
		}
		if err := json.Unmarshal(o.body, &a); err != nil {
			return alteredAnswer, err.Error()
		}
		if a.SKU != r.sku || a.Quantity != orderer.Stock(r.sku) {
			return foreignAnswer, fmt.Sprintf("got %s %d, want %s %d", a.SKU, a.Quantity, r.sku, orderer.Stock(r.sku))
		}
		return "", ""
	case classOrder:
		return checkOrder(r, o)
	}
	return checkModel(r, o)
}

func checkOrder(r request, o outcome) (violation, detail string) {
	var a struct {
		Order string `json:"order"`
		Runs  int    `json:"runs"`
	}
	if err := json.Unmarshal(o.body, &a); err != nil {
		return alteredAnswer, err.Error()
	}
	if a.Order != r.order {
		return foreignAnswer, fmt.Sprintf("got order %s, want %s", a.Order, r.order)
	}
	if a.Runs != 1 {
		return duplicateOrder, fmt.Sprintf("order %s ran %d times", a.Order, a.Runs)
	}
	return "", ""
}

func checkModel(r request, o outcome) (violation, detail string) {
	if !o.done {
		return alteredAnswer, "the stream ended without [DONE] and without an error"
	}
	if err := completion.Check(r.prompt, o.text); err != nil {
		if errors.Is(err, fault.Conflict) {
			return foreignAnswer, err.Error()
		}
		return alteredAnswer, err.Error()
	}
	words := strings.Count(o.text, " ") + 1
	switch {
	case o.usage == nil:
		return missingUsage, ""
	case o.usage.Completion != words || o.usage.Prompt != r.tokens:
		return wrongUsage, fmt.Sprintf("got %d+%d, want %d+%d", o.usage.Prompt, o.usage.Completion, r.tokens, words)
	case words > r.limit:
		return wrongUsage, fmt.Sprintf("got %d tokens, want at most %d", words, r.limit)
	}
	return "", ""
}

// compare checks what callers were told about orders against the runs that
// the order services counted.
func (l *Loader) compare(ctx context.Context) error {
	runs := map[string]int{}
	for _, address := range l.cfg.Counts {
		if err := l.fetch(ctx, address, runs); err != nil {
			return err
		}
	}
	for id, f := range l.orders {
		switch n := runs[id]; {
		case n > 1:
			l.result.violate(duplicateOrder, fmt.Sprintf("order %s ran %d times", id, n))
		case n == 0 && f.confirmed:
			l.result.violate(lostOrder, id)
		case n > 0 && !f.possible:
			l.result.violate(ghostOrder, id)
		}
	}
	return nil
}

func (l *Loader) fetch(ctx context.Context, address string, runs map[string]int) error {
	ctx, cancel := context.WithTimeout(ctx, countsTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/counts", nil)
	if err != nil {
		return eris.Wrapf(fault.Malformed, "counts: %v", err)
	}
	resp, err := l.cfg.Client.Do(req)
	if err != nil {
		return eris.Wrapf(fault.Unavailable, "counts: %v", err)
	}
	defer resp.Body.Close()
	var counts map[string]int
	if err := json.NewDecoder(resp.Body).Decode(&counts); err != nil {
		return eris.Wrapf(fault.Unavailable, "counts of %s: %v", address, err)
	}
	for id, n := range counts {
		runs[id] += n
	}
	return nil
}
