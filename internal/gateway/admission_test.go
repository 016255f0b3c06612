package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/configuration"
	"github.com/papayapond/papayapond/internal/dispatcher"
	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/wire"
	"github.com/papayapond/papayapond/pkg/account"
	"github.com/papayapond/papayapond/pkg/group"
	"github.com/papayapond/papayapond/pkg/model"
	"github.com/papayapond/papayapond/pkg/printer"
	"github.com/papayapond/papayapond/pkg/venture"
)

// full is a refusal that advises a pause.
type full struct{ error }

func (full) RetryAfter() time.Duration { return 7 * time.Second }

func (f full) Unwrap() error { return f.error }

// A request that admission refuses must not reach the dispatcher, must give
// its reservation back, and must tell the caller when to come again.
func TestRefusedAdmission(t *testing.T) {
	now := time.Now()
	hash := func(key string) string { return account.Hash([]byte("test salt"), key) }
	owner := account.New("acme", 1000).WithKeys(hash("acme")).WithModels("m").WithGroups("engine")
	c, err := configuration.Parse(printer.Text(venture.New("test", now.AddDate(0, 0, -1), now.AddDate(0, 0, 1)).
		WithOperator("owner", hash("owner")).WithModels(model.New("m", 64, 1024)).
		WithGroups(group.New("engine", "engine").WithKey(hash("engine"))).WithAccounts(owner)))
	if err != nil {
		t.Fatal(err)
	}
	var class string
	cancelled := 0
	g := New(Config{
		Current: func() *configuration.Configuration { return c },
		Phase:   func() string { return "open" },
		Skew:    func() time.Duration { return 0 },
		Account: func(string) (account.Account, error) { return owner, nil },
		Reserve: func(context.Context, string, int64) (uint64, error) { return 42, nil },
		Cancel: func(ticket uint64) {
			if ticket == 42 {
				cancelled++
			}
		},
		Admit: func(_ context.Context, _, _ string, _ int64, c string) (func(), error) {
			class = c
			return nil, full{eris.Wrap(fault.Overloaded, "test")}
		},
		Do: func(context.Context, dispatcher.Job, func(*wire.Target, *http.Response) (bool, error)) (string, error) {
			t.Error("the request was sent")
			return "", fault.Internal
		},
		Logger: zap.NewNop(),
	})
	r := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(`{"model":"m","messages":[{"role":"user","content":"hi"}]}`))
	r.Header.Set("X-Class", "Quote")
	w := httptest.NewRecorder()
	g.ServeHTTP(w, r)
	if w.Code != http.StatusTooManyRequests || w.Header().Get("Retry-After") != "7" || !strings.Contains(w.Body.String(), `"run":"no"`) {
		t.Errorf("got %d, Retry-After %q, %s; want 429 after 7 s, not run", w.Code, w.Header().Get("Retry-After"), w.Body)
	}
	if cancelled != 1 || class != "quote" {
		t.Errorf("got %d cancelled reservations and class %q, want 1 and quote", cancelled, class)
	}
}
