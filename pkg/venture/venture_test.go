package venture

import (
	"testing"
	"time"

	"github.com/papayapond/papayapond/pkg/account"
	"github.com/papayapond/papayapond/pkg/service"
)

// A With method that shares a slice with the original would change the version
// in force while the next one is prepared.
func TestCopiesAreIndependent(t *testing.T) {
	base := New("wondimu", time.Unix(0, 0), time.Unix(1, 0)).
		WithAccounts(account.New("mill", 10).WithKeys("a").WithTopup("x", 1)).
		WithServices(service.New("orders", 1).WithCall("POST", "/")).
		WithOperator("sara", "k")
	changed := base.WithReserve(0.5)
	changed.Accounts[0].Keys[0] = "b"
	changed.Accounts[0].Topups[0].Tokens = 2
	changed.Services[0].Calls[0].Path = "/b"
	changed.Operators[0].Name = "tom"
	if got := base.Accounts[0].Keys[0]; got != "a" {
		t.Errorf("key: got %q, want a", got)
	}
	if got := base.Accounts[0].Topups[0].Tokens; got != 1 {
		t.Errorf("top-up: got %d, want 1", got)
	}
	if got := base.Services[0].Calls[0].Path; got != "/" {
		t.Errorf("call: got %q, want /", got)
	}
	if got := base.Operators[0].Name; got != "sara" {
		t.Errorf("operator: got %q, want sara", got)
	}
	first, second := base.WithOperator("a", ""), base.WithOperator("b", "")
	if got := first.Operators[1].Name; got != "a" || second.Operators[1].Name != "b" {
		t.Errorf("appended operator: got %q, want a", got)
	}
}
