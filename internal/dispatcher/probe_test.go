package dispatcher

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/papayapond/papayapond/internal/engine"
	"github.com/papayapond/papayapond/internal/fault"
)

const contentEvent = "data: {\"choices\":[{\"delta\":{\"content\":\"%s\"}}]}\n\n"

// An address may be used again by another lifetime or service. A stream whose
// connection is silent must not go on with what answers there without the ID of the
// attempt.
func TestStreamOfAnotherRun(t *testing.T) {
	for name, id := range map[string]string{"no ID": "", "another ID": "other.1"} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 0, engine.Config{Name: "e0"})
			target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				switch {
				case r.URL.Path == "/v1/chat/completions":
					_, _ = fmt.Fprintf(w, contentEvent, "a")
					_ = http.NewResponseController(w).Flush()
					select { // the connection is silent
					case <-r.Context().Done():
					case <-time.After(time.Minute):
					}
				case strings.HasPrefix(r.URL.Path, "/v1/streams/"):
					if id != "" {
						w.Header().Set(RequestHeader, id)
					}
					_, _ = fmt.Fprintf(w, contentEvent+"data: [DONE]\n\n", "b")
				}
			}))
			t.Cleanup(target.Close)
			f.targets[0].Address = target.Listener.Addr().String()
			if _, content, err := f.stream(2, ignoreToken); content != "a" || fault.Of(err) != fault.Interrupted {
				t.Errorf("got %q and %v, want %q and %v", content, err, "a", fault.Interrupted)
			}
		})
	}
}
