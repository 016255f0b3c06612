package ruleset_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/ruleset"
	"github.com/papayapond/papayapond/pkg/pool"
	"github.com/papayapond/papayapond/pkg/prepaid"
	"github.com/papayapond/papayapond/pkg/route"
)

func baseRoute() route.Route {
	return route.Route{Name: "r", Host: "h", Prefix: "/", Kind: route.Single, Timeout: time.Second, Split: []route.Share{{Pool: "p", Weight: 1}}}
}

func routeAt(name, host, prefix string) route.Route {
	r := baseRoute()
	r.Name, r.Host, r.Prefix = name, host, prefix
	return r
}

// A request must match the longest prefix of its host, compared byte by byte,
// and no prefix of another host.
func TestMatch(t *testing.T) {
	r, err := ruleset.New(ruleset.Config{Pools: []pool.Pool{{Name: "p"}}, Routes: []route.Route{routeAt("short", "h", "/a/"), routeAt("long", "h", "/a/b/"), routeAt("other", "i", "/")}})
	if err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct{ host, path, want string }{
		{"h", "/a/", "short"}, {"h", "/a/bc", "short"}, {"h", "/a/b/c", "long"}, {"H:80", "/a/b/", "long"},
		{"h", "/a", ""}, {"h", "/b/", ""}, {"h", "/A/", ""}, {"h", "/a%2Fb/", ""}, {"i", "/a/b/c", "other"}, {"j", "/a/", ""},
	} {
		if got, _ := r.Match(test.host, test.path); got.Name != test.want {
			t.Errorf("%s%s: got %q, want %q", test.host, test.path, got.Name, test.want)
		}
	}
}

// streamAt returns a route whose streams may be resumed.
func streamAt(name, host, prefix string) route.Route {
	r := routeAt(name, host, prefix)
	r.Kind, r.Resume = route.Stream, true
	return r
}

// The digest of a route must change whenever its requests may go to other pools, and
// with nothing else: a look-up of the software version of a stream relies on it.
func TestRouting(t *testing.T) {
	digest := func(routes ...route.Route) string {
		t.Helper()
		r, err := ruleset.New(ruleset.Config{Pools: []pool.Pool{{Name: "p"}, {Name: "q"}}, Routes: routes})
		if err != nil {
			t.Fatal(err)
		}
		of := streamAt("r", "H", "/a/")
		if got, want := r.Routings()["h/a/"], r.Routing(of); got != want {
			t.Errorf("got digest %s among all, want %s", got, want)
		}
		return r.Routing(of)
	}
	p, q := route.Share{Pool: "p", Weight: 1}, route.Share{Pool: "q", Weight: 1}
	base := streamAt("r", "h", "/a/").WithSplit(p, q)
	want := digest(base)
	for name, same := range map[string][]route.Route{
		"other weights":       {base.WithSplit(route.Share{Pool: "p", Weight: 7}, q)},
		"other order":         {base.WithSplit(q, p)},
		"twice the pool":      {base.WithSplit(p, q, p)},
		"other timeout":       {base.WithTimeout(time.Hour)},
		"other name":          {streamAt("s", "H", "/a/").WithSplit(p, q)},
		"shorter prefix, too": {base, routeAt("s", "h", "/")},
		"another prefix, too": {base, routeAt("s", "h", "/b/")},
		"another host, too":   {base, routeAt("s", "i", "/")},
	} {
		if got := digest(same...); got != want {
			t.Errorf("%s: got another digest, want the same", name)
		}
	}
	for name, other := range map[string][]route.Route{
		"one pool":            {base.WithSplit(p)},
		"a pool of weight 0":  {base.WithSplit(p, route.Share{Pool: "q"})},
		"other prefix":        {streamAt("r", "h", "/b/").WithSplit(p, q)},
		"shorter prefix":      {streamAt("r", "h", "/").WithSplit(p, q)},
		"longer prefix, too":  {base, routeAt("s", "h", "/a/b/")},
		"no route":            nil,
		"prefix and pool mix": {streamAt("r", "h", "/a/").WithSplit(q)},
	} {
		if got := digest(other...); got == want {
			t.Errorf("%s: got the same digest, want another", name)
		}
	}
}

// A version that could route or bill incorrectly must be rejected as a whole.
func TestNewRefuses(t *testing.T) {
	pools := []pool.Pool{{Name: "p"}}
	negative := baseRoute().WithSplit(route.Share{Pool: "p", Weight: -1}, route.Share{Pool: "p", Weight: 2})
	for name, cfg := range map[string]ruleset.Config{
		"unknown pool":               {Routes: []route.Route{baseRoute()}},
		"same host and prefix":       {Pools: pools, Routes: []route.Route{routeAt("a", "h", "/"), routeAt("b", "H", "/")}},
		"no weight":                  {Pools: pools, Routes: []route.Route{baseRoute().WithSplit()}},
		"negative weight":            {Pools: pools, Routes: []route.Route{negative}},
		"no timeout":                 {Pools: pools, Routes: []route.Route{baseRoute().WithTimeout(0)}},
		"prefix without final slash": {Pools: pools, Routes: []route.Route{routeAt("a", "h", "/a")}},
		"shared key":                 {Accounts: []prepaid.Prepaid{{Name: "a", Keys: []string{"k"}}, {Name: "b", Keys: []string{"k"}}}},
		"same account":               {Accounts: []prepaid.Prepaid{{Name: "a"}, {Name: "a"}}},
	} {
		if _, err := ruleset.New(cfg); !errors.Is(err, fault.Malformed) {
			t.Errorf("%s: got %v, want %v", name, err, fault.Malformed)
		}
	}
}

// Decoding and encoding again must give the same bytes.
func TestEncode(t *testing.T) {
	priority := 2
	account := prepaid.Prepaid{Name: "a", Keys: []string{"k"}, Priority: &priority}.WithTokens(7)
	r, err := ruleset.New(ruleset.Config{
		Version: 3, Pools: []pool.Pool{pool.Pool{Name: "p"}.WithEngine(pool.Engine{Batch: 2})}, Routes: []route.Route{baseRoute()}, Accounts: []prepaid.Prepaid{account}, MaxBodyBytes: 9,
	})
	if err != nil {
		t.Fatal(err)
	}
	data, err := r.Encode()
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := ruleset.Decode(data)
	if err != nil {
		t.Fatal(err)
	}
	again, err := decoded.Encode()
	if err != nil || string(again) != string(data) {
		t.Errorf("got %s and %v, want %s", again, err, data)
	}
	if owner, ok := decoded.AccountByKey("k"); !ok || *owner.Tokens != 7 || *owner.Priority != 2 {
		t.Errorf("owner: got %v", owner)
	}
}

func ExampleRuleset_Match() {
	r, err := ruleset.New(ruleset.Config{Pools: []pool.Pool{{Name: "p"}, {Name: "q"}}, Routes: []route.Route{
		baseRoute().WithSplit(route.Share{Pool: "p", Weight: 9}, route.Share{Pool: "q", Weight: 1}),
	}})
	if err != nil {
		fmt.Println(err)
		return
	}
	t, ok := r.Match("h:8080", "/orders")
	fmt.Println(ok, t.Pool(0.5), t.Pool(0.95))
	// Output: true p q
}

// BenchmarkDecode measures decoding a ruleset, by the number of routes.
func BenchmarkDecode(b *testing.B) {
	for _, n := range []int{12, 400, 4000} {
		b.Run(fmt.Sprint("routes=", n), func(b *testing.B) {
			cfg := ruleset.Config{Version: 1, Pools: []pool.Pool{{Name: "p"}}}
			for i := range n {
				cfg.Routes = append(cfg.Routes, routeAt(fmt.Sprint("r-", i*7919), "tizi99.example", fmt.Sprintf("/x%x/", i*104729)))
			}
			r, err := ruleset.New(cfg)
			if err != nil {
				b.Fatal(err)
			}
			data, err := r.Encode()
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				if _, err := ruleset.Decode(data); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(data)), "B/ruleset")
		})
	}
}
