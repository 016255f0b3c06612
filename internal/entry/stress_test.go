package entry

import (
	"context"
	"flag"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/papayapond/papayapond/internal/forwarder"
	"github.com/papayapond/papayapond/internal/ruleset"
	"github.com/papayapond/papayapond/internal/wire"
	"github.com/papayapond/papayapond/pkg/pool"
	"github.com/papayapond/papayapond/pkg/prepaid"
	"github.com/papayapond/papayapond/pkg/route"
)

var stressTime = flag.Duration("stress", 1500*time.Millisecond, "how long TestComponentsTogether runs")

// stressRules returns a ruleset with one engine pool and one account.
func stressRules(t *testing.T, version uint64) *ruleset.Ruleset {
	t.Helper()
	tokens := int64(1 << 40)
	rules, err := ruleset.New(ruleset.Config{
		Version: version, Pools: []pool.Pool{pool.Pool{Name: "p"}.WithEngine(pool.Engine{Batch: 64, CacheTokens: 1 << 20, TokensPerEvent: 1})},
		Routes:   []route.Route{{Name: "r", Host: "h", Prefix: "/", Kind: route.Idempotent, Timeout: time.Second, MaxAttempts: 2, Split: []route.Share{{Pool: "p", Weight: 1}}}},
		Accounts: []prepaid.Prepaid{{Name: "shop", Keys: []string{"key"}, Tokens: &tokens}},
	})
	if err != nil {
		t.Fatal(err)
	}
	return rules
}

// stressTable returns the encoded loads of the targets of stressReply.
func stressTable() []byte {
	table := &wire.Table{Roster: 1}
	table.Append(&wire.Load{Running: 1})
	table.Append(&wire.Load{})
	data, err := proto.Marshal(table)
	if err != nil {
		panic(err)
	}
	return data
}

// stressReply returns a reply of the leader with all that it may tell.
func stressReply(address string) *wire.SyncReply {
	return &wire.SyncReply{
		Listed: true, Targets: []*wire.Listing{{Id: "e1", Born: 1, Pool: "p", Address: address, Zone: "z"}, {Id: "e2", Born: 1, Pool: "p", Address: "127.0.0.1:1", Zone: "y"}},
		Limits: []*wire.Limit{{Account: "shop", Limit: 1 << 40, Lock: 1 << 40, Total: 1 << 40, Free: 1 << 39}}, Entries: 2,
		Members: []*wire.Member{{Address: "127.0.0.1:2", Zone: "z"}, {Address: "127.0.0.1:3", Zone: "y"}},
		Roster:  1, Table: stressTable(), TargetLimits: []*wire.TargetLimit{{Target: "e1/1", Rate: 1000, Share: 100}}, Evidence: &wire.Evidence{Source: 1, Version: 1, Crashes: []*wire.Crash{{Id: "1", Target: "e1/1", Keys: []string{"p/a"}, Started: true}}},
	}
}

// The components of an entry instance call each other under load, while lists,
// limits, rulesets and loans change. A cycle of locks between any two of them
// stops the instance for good, as it did between balancer and exchanger.
func TestComponentsTogether(t *testing.T) {
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		w.Header().Set("X-Sign", "s")
	}))
	defer target.Close()
	address := strings.TrimPrefix(target.URL, "http://")
	e := New(Config{
		Name: "e1", Zone: "z", PeerAddress: "127.0.0.1:2", Seeds: func() []string { return []string{"127.0.0.1:1"} }, Logger: zap.NewNop(),
		Headers:    forwarder.Headers{Attempt: "X-Id", Deadline: "X-Deadline", Signature: "X-Sign", Refused: "X-Refused", Target: "X-To", Account: "X-Account", Usage: "X-Usage", Parts: "X-Parts"},
		RetryShare: 0.2, RetrySlack: 100, RetryWindow: time.Second, LinkCapacity: 1e9, Observe: func(forwarder.Report) {}, OnDial: func() {}, OnLoan: func(bool) {},
	})
	e.applyRuleset(stressRules(t, 1))
	e.applyReply(&wire.SyncRequest{Evidence: e.evidence.Request()}, stressReply(address))
	ctx, cancel := context.WithTimeout(t.Context(), *stressTime)
	defer cancel()
	version := uint64(1)
	tasks := map[string]func(){
		"request": func() {
			r := httptest.NewRequest(http.MethodPost, "/", strings.NewReader("question"))
			r.Host = "h"
			for name, value := range map[string]string{"Authorization": "Bearer key", "X-Id": "1", "X-Usage": "10,5", "X-Parts": "a:5,b:5"} {
				r.Header.Set(name, value)
			}
			e.forwarder.ServeHTTP(httptest.NewRecorder(), r)
		},
		"reply":      func() { e.applyReply(&wire.SyncRequest{Evidence: e.evidence.Request()}, stressReply(address)) },
		"prune":      func() { e.exchanger.PruneIdle(e.balancer.HasAddress) },
		"close idle": func() { e.exchanger.CloseIdle(address) },
		"ruleset":    func() { version++; e.applyRuleset(stressRules(t, version)) },
		"declare":    func() { e.spender.Declare(); e.balancer.LocalLoads(); e.regulator.Report() },
		"surplus":    func() { e.lender.Return(ctx, e.spender.TakeSurplus(func(string) bool { return false })) },
		"loans": func() {
			_, _ = e.lender.Lend(ctx, &wire.LendRequest{Account: "shop", Tokens: 1})
			_, _ = e.lender.Repay(ctx, &wire.RepayRequest{Amounts: []*wire.Amount{{Account: "shop", Tokens: 1}}})
		},
		"gossip": func() {
			_, _ = e.gossiper.Report(ctx, &wire.ReportRequest{Address: "127.0.0.1:4", Zone: "z", Loads: []*wire.Load{{Target: "e1", Running: 1}}})
			e.gossiper.Round(ctx)
		},
		"record": func() { e.RecordOrigin("shop", "1", "p", "v1"); e.tracer.Unsent() },
		"trace": func() {
			_, _, _ = e.Trace(ctx, "shop", "2", e.rules.Load().Config().Routes[0], time.Second)
			_, _ = relayServer{e}.Trace(ctx, &wire.TraceRequest{Attempt: 3, Pool: "p", Relay: true})
		},
		"readiness": func() { e.isReady(); e.LinkShare(); e.SinceContact() },
		"sync":      func() { e.sync.Trigger(); _, _ = e.sync.Relay(ctx, &wire.SyncRequest{}) },
	}
	var group sync.WaitGroup
	for name, task := range tasks {
		workers := 1
		if name == "request" {
			workers = 4
		}
		for range workers {
			group.Go(func() {
				for ctx.Err() == nil {
					task()
				}
			})
		}
	}
	ended := make(chan struct{})
	go func() {
		group.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(*stressTime + 20*time.Second):
		stacks := make([]byte, maxStackBytes)
		t.Fatalf("components stand still: deadlock\n%s", stacks[:runtime.Stack(stacks, true)])
	}
}
