package entry

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/papayapond/papayapond/internal/balancer"
	"github.com/papayapond/papayapond/internal/exchanger"
	"github.com/papayapond/papayapond/internal/wire"
	"github.com/papayapond/papayapond/pkg/pool"
)

// Choosing targets while idle connections are pruned must not deadlock. Choose
// asks the exchanger for idle connections, and PruneIdle asks the balancer for
// addresses: if both call under their locks, the instance stops serving.
func TestPruneDuringChoice(t *testing.T) {
	const rounds = 200_000
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
	}))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	x := exchanger.New(exchanger.Config{})
	b := balancer.New(balancer.Config{Connected: x.HasIdle})
	b.SetPools([]pool.Pool{{Name: "m", Engine: &pool.Engine{Batch: 64}}})
	b.SetTargets([]*wire.Listing{{Id: "e1", Pool: "m", Address: address}})
	a, err := x.Send(t.Context(), &exchanger.Request{Address: address, Method: http.MethodGet, URI: "/", Host: address})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, a.Body); err != nil {
		t.Fatal(err)
	}
	a.Close(true)
	done := make(chan struct{}, 2)
	go func() {
		for range rounds {
			p, err := b.Choose(balancer.Query{Pool: "m"})
			if err != nil {
				t.Errorf("got %v, want a target", err)
				break
			}
			p.Done(balancer.Served)
		}
		done <- struct{}{}
	}()
	go func() {
		for range rounds {
			x.PruneIdle(b.HasAddress)
		}
		done <- struct{}{}
	}()
	for range 2 {
		select {
		case <-done:
		case <-time.After(20 * time.Second):
			t.Fatal("choosing and pruning stand still: deadlock")
		}
	}
}
