package printer

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/papayapond/papayapond/pkg/account"
	"github.com/papayapond/papayapond/pkg/group"
	"github.com/papayapond/papayapond/pkg/model"
	"github.com/papayapond/papayapond/pkg/service"
	"github.com/papayapond/papayapond/pkg/venture"
)

var update = flag.Bool("update", false, "write the golden file")

// The output must not depend on the order of calls, or one content would have
// two digests.
func TestPrint(t *testing.T) {
	zone := time.FixedZone("", 7200)
	start := time.Date(2026, 1, 1, 2, 0, 0, 0, zone)
	v := venture.New("wondimu", start, start.AddDate(1, 0, 0)).WithVersion(3, 2).WithReserve(1).
		WithOperator("sara", account.Hash([]byte("saltsalt"), "a")).
		WithModels(model.New("quote-8b", 512, 8192), model.New("chat-8b", 256, 4096)).
		WithServices(service.New("orders", 5).WithCall("POST", "/orders").WithRepeatable("GET", "/orders")).
		WithGroups(group.New("gpu-", group.Engine).WithKey(account.Hash([]byte("saltsalt"), "b"))).
		WithAccounts(account.New("mill", 1000).WithModels("quote-8b", "chat-8b").WithTopup("b", 2).WithTopup("a", 1)).
		WithAccounts(account.New("bakery \"\\\x01é", 0).WithServices("orders").WithWeight(3)).
		WithObjectives(venture.Objective{Name: "first", Measure: venture.FirstToken, Limit: 420, Share: 0.95})
	got := Text(v)
	path := filepath.Join("testdata", "print.golden")
	if *update {
		if err := os.WriteFile(path, got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("got\n%s\nwant\n%s", got, want)
	}
}
