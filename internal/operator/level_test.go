package operator

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/fault"
)

// The level must not change without an operator's key, nor to a level that hides
// errors.
func TestLevel(t *testing.T) {
	level := zap.NewAtomicLevelAt(zap.InfoLevel)
	o := New(Config{Level: &level, Logger: zap.NewNop(), Authenticate: func(key string) (string, error) {
		if key != "right" {
			return "", eris.Wrap(fault.Unauthorized, "key")
		}
		return "owner", nil
	}})
	for _, c := range []struct {
		method, key, body string
		status            int
		want              string
	}{
		{http.MethodPut, "wrong", `{"level":"debug"}`, http.StatusUnauthorized, "info"},
		{http.MethodPut, "right", `{"level":"fatal"}`, http.StatusBadRequest, "info"},
		{http.MethodPut, "right", `{"level":""}`, http.StatusBadRequest, "info"},
		{http.MethodPut, "right", `{"level":"loud"}`, http.StatusBadRequest, "info"},
		{http.MethodPut, "right", `{"level":"debug"}`, http.StatusOK, "debug"},
		{http.MethodGet, "right", "", http.StatusOK, "debug"},
	} {
		r := httptest.NewRequest(c.method, "/v1/level", strings.NewReader(c.body))
		r.Header.Set("Authorization", "Bearer "+c.key)
		w := httptest.NewRecorder()
		o.ServeHTTP(w, r)
		if got := w.Code; got != c.status {
			t.Errorf("%s %s: got status %d, want %d", c.method, c.body, got, c.status)
		}
		if got := level.String(); got != c.want {
			t.Errorf("%s %s: got level %s, want %s", c.method, c.body, got, c.want)
		}
	}
}
