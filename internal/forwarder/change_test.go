package forwarder_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/papayapond/papayapond/internal/ruleset"
	"github.com/papayapond/papayapond/internal/wire"
	"github.com/papayapond/papayapond/pkg/pool"
	"github.com/papayapond/papayapond/pkg/prepaid"
	"github.com/papayapond/papayapond/pkg/route"
)

// A change of the configuration must not end an answer that a target has begun or is
// about to give, also if it drops all that the request has used: connections to
// targets that nothing lists are closed then.
func TestChangeInFlight(t *testing.T) {
	const wait = 300 * time.Millisecond
	slow := func(n int, w io.Writer, r *http.Request) bool {
		time.Sleep(wait)
		return respond(http.StatusOK, signed, "answer")(n, w, r)
	}
	for _, test := range []struct {
		name string
		drop func(c *ruleset.Config)
	}{
		{"nothing", func(*ruleset.Config) {}},
		{"account", func(c *ruleset.Config) { c.Accounts = []prepaid.Prepaid{{Name: "other", Keys: []string{"other"}}} }},
		{"route", func(c *ruleset.Config) { c.Routes = c.Routes[:1] }},
		{"pool", func(c *ruleset.Config) {
			c.Pools = []pool.Pool{{Name: "q"}}
			for i := range c.Routes {
				c.Routes[i] = c.Routes[i].WithSplit(route.Share{Pool: "q", Weight: 1})
			}
		}},
	} {
		for _, request := range []struct {
			path, want string
			script     handler
		}{
			{"/once/", "answer", slow},
			{"/again/", "answer", slow},
			{"/stream/", stream(6), silent(6, 3, wait, true)},
			{"/stream/", stream(6), silent(6, 0, wait, false)},
			{"/resume/", stream(6), silent(6, 3, wait, true)},
		} {
			for _, listed := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s %s listed %v", test.name, request.path, listed), func(t *testing.T) {
					t.Parallel()
					f := newFixture(t, request.script)
					time.AfterFunc(wait/2, func() {
						c := f.rules
						c.Version++
						c.Routes = append([]route.Route(nil), c.Routes...)
						test.drop(&c)
						f.setRules(c)
						if !listed {
							f.balancer.SetTargets([]*wire.Listing{})
							f.exchanger.PruneIdle(f.balancer.HasAddress)
						}
					})
					a, body, err := f.post(request.path, nil)
					if err != nil || a.StatusCode != http.StatusOK || body != request.want {
						t.Errorf("got status %d, %q and %v, want the whole answer", a.StatusCode, body, err)
					}
					deadline := time.Now().Add(time.Second)
					for f.spender.Declare()[0].Used == 0 && time.Now().Before(deadline) {
						time.Sleep(time.Millisecond)
					}
					if f.spender.Declare()[0].Used == 0 {
						t.Error("got no tokens charged to the account")
					}
				})
			}
		}
	}
}

// A stream that its target breaks off must go on at another target by the rules with
// which it began, though the configuration has changed meanwhile.
func TestResumeAfterChange(t *testing.T) {
	f := newFixture(t, func(n int, w io.Writer, r *http.Request) bool {
		events("first", 1, 3, true)(n, w, r)
		time.Sleep(300 * time.Millisecond)
		return false
	}, events("second", 4, 6, false))
	time.AfterFunc(150*time.Millisecond, func() {
		c := f.rules
		c.Version++
		c.Routes, c.Accounts = c.Routes[:1], nil
		f.setRules(c)
	})
	if _, body, err := f.post("/resume/", nil); err != nil || body != stream(6) {
		t.Errorf("got %q and %v, want the whole stream", body, err)
	}
}
