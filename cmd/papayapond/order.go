package main

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/rotisserie/eris"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/issuer"
)

type orderCommand struct {
	remoteOptions
	Target  string `arg:"positional,required" help:"name of the target"`
	Verb    string `arg:"positional,required" help:"load, unload or role"`
	Subject string `arg:"positional,required" help:"model, adapter or version; or the new role"`
	Request string `arg:"--request" help:"identity of the order; the same one again shows the same order [default: random]"`
	Forced  bool   `arg:"--forced" help:"also if it takes the last ready copy of a model out of service"`
	NoWait  bool   `arg:"--no-wait" help:"don't wait for the outcome"`
}

// orderStatus is the mutable part of an order.
type orderStatus struct {
	Fence   uint64 `json:"fence"`
	Outcome string `json:"outcome"`
	Detail  string `json:"detail"`
}

func (c *orderCommand) run(ctx context.Context) error {
	if c.Request == "" {
		c.Request = rand.Text()
	}
	deadline := time.Now().Add(c.Timeout)
	o, err := c.submit(ctx, deadline)
	if err != nil {
		return err
	}
	fmt.Printf("Order %s to %s has fencing number %d.\n", c.Request, c.Target, o.Fence)
	if c.NoWait {
		return nil
	}
	for {
		switch o.Outcome {
		case issuer.Obeyed:
			fmt.Println("It was obeyed.")
			return nil
		case issuer.Refused, issuer.Superseded, issuer.Expired:
			return eris.Errorf("order %s: %s", o.Outcome, o.Detail)
		}
		if time.Now().After(deadline) {
			return eris.Wrapf(fault.Uncertain, "order still pending after %v: check it again with --request %s", c.Timeout, c.Request)
		}
		time.Sleep(pollInterval)
		if o, err = c.status(ctx, deadline); err != nil {
			return err
		}
	}
}

// submit submits the order. Submitting the same order again returns its current
// status, so it is safe to retry after a lost response.
func (c *orderCommand) submit(ctx context.Context, deadline time.Time) (orderStatus, error) {
	var o orderStatus
	err := retry(deadline, func() error {
		text, err := c.call(ctx, http.MethodPost, "/v1/orders", struct {
			Target  string `json:"target"`
			Verb    string `json:"verb"`
			Subject string `json:"subject"`
			Request string `json:"request"`
			Forced  bool   `json:"forced"`
		}{c.Target, c.Verb, c.Subject, c.Request, c.Forced})
		if err != nil {
			return err
		}
		return eris.Wrap(json.Unmarshal(text, &o), "order")
	})
	return o, err
}

// status returns the current status of the order.
func (c *orderCommand) status(ctx context.Context, deadline time.Time) (orderStatus, error) {
	var list struct {
		Orders []orderStatus `json:"orders"`
	}
	query := url.Values{"target": {c.Target}, "request": {c.Request}}
	err := retry(deadline, func() error {
		text, err := c.call(ctx, http.MethodGet, "/v1/orders?"+query.Encode(), nil)
		if err != nil {
			return err
		}
		return eris.Wrap(json.Unmarshal(text, &list), "orders")
	})
	if err == nil && len(list.Orders) == 0 {
		err = eris.Wrapf(fault.Missing, "order %s to %s", c.Request, c.Target)
	}
	if err != nil {
		return orderStatus{}, err
	}
	return list.Orders[0], nil
}

type ordersCommand struct {
	remoteOptions
	Target string `arg:"--target" help:"only the orders to this target"`
}

func (c *ordersCommand) run(ctx context.Context) error {
	return c.callAndPrint(ctx, http.MethodGet, "/v1/orders?target="+url.QueryEscape(c.Target), nil)
}
