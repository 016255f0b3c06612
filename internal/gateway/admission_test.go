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
	"github.com/papayapond/papayapond/pkg/service"
	"github.com/papayapond/papayapond/pkg/venture"
)

// retryAfterError is an error with a retry delay.
type retryAfterError struct{ error }

func (retryAfterError) RetryAfter() time.Duration { return 7 * time.Second }

func (f retryAfterError) Unwrap() error { return f.error }

// A request or service call refused by admission must not reach the dispatcher
// or leave a claim, must release its reservation, and must tell the caller when
// to retry.
func TestRefusedAdmission(t *testing.T) {
	now := time.Now()
	hash := func(key string) string { return account.Hash([]byte("test salt"), key) }
	owner := account.New("acme", 1000).WithKeys(hash("acme")).WithModels("m").WithServices("orders").WithGroups("engine")
	c, err := configuration.Parse(printer.Text(venture.New("test", now.AddDate(0, 0, -1), now.AddDate(0, 0, 1)).
		WithOperator("owner", hash("owner")).WithModels(model.New("m", 64, 1024)).WithServices(service.New("orders", 3)).
		WithGroups(group.New("engine", "engine").WithKey(hash("engine"))).WithAccounts(owner)))
	if err != nil {
		t.Fatal(err)
	}
	var admitted string
	cancelled := 0
	g := New(Config{
		Current: func() *configuration.Configuration { return c },
		Phase:   func() string { return "open" },
		Skew:    func() time.Duration { return 0 },
		Account: func(string) (account.Account, error) { return owner, nil },
		Reserve: func(context.Context, string, int64) (uint64, error) { return 42, nil },
		Cancel: func(reservation uint64) {
			if reservation == 42 {
				cancelled++
			}
		},
		Admit: func(_ context.Context, model, service, _ string, _ int64, class string) (_, _ func(), err error) {
			admitted = model + "/" + service + "/" + class
			return nil, nil, retryAfterError{eris.Wrap(fault.Overloaded, "test")}
		},
		Do: func(context.Context, dispatcher.Job, func(*wire.Target, *http.Response) (bool, error)) (string, error) {
			t.Error("the request was sent")
			return "", fault.Internal
		},
		Propose: func(context.Context, *wire.Command) (*wire.ProposeReply, error) {
			t.Error("the call was claimed")
			return nil, fault.Internal
		},
		Find:   func(context.Context, *wire.FindRequest) (*wire.FindReply, error) { return &wire.FindReply{}, nil },
		Logger: zap.NewNop(),
	})
	for _, test := range []struct{ path, body, want string }{
		{"/v1/chat/completions", `{"model":"m","messages":[{"role":"user","content":"hi"}]}`, "m//quote"},
		{"/v1/services/orders/orders", "{}", "/orders/service"},
	} {
		cancelled = 0
		r := httptest.NewRequest(http.MethodPost, test.path, strings.NewReader(test.body))
		r.Header.Set("X-Class", "Quote")
		r.Header.Set("Idempotency-Key", "k")
		w := httptest.NewRecorder()
		g.ServeHTTP(w, r)
		if w.Code != http.StatusTooManyRequests || w.Header().Get("Retry-After") != "7" || !strings.Contains(w.Body.String(), `"run":"no"`) {
			t.Errorf("%s: got status %d, Retry-After %q, %s; want 429, \"7\", not run", test.path, w.Code, w.Header().Get("Retry-After"), w.Body)
		}
		if cancelled != 1 || admitted != test.want {
			t.Errorf("%s: got %d cancelled reservations, admission for %q; want 1, %q", test.path, cancelled, admitted, test.want)
		}
	}
}
