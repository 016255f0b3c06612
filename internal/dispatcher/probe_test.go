package dispatcher

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rotisserie/eris"

	"github.com/papayapond/papayapond/internal/engine"
	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/wire"
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

// The goroutine of a probe may find that a stream can't be requested again while the
// consumer ends its attempt. The race detector reports unguarded accesses.
func TestProbeBesideEnd(t *testing.T) {
	target := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	t.Cleanup(target.Close)
	var read atomic.Int64
	d := newTarget(t, &read, nil)
	for range 20 {
		r, err := d.newResponseReader(t.Context(), &attempt{job: newJob("r", true), target: &wire.Target{Address: target.Listener.Addr().String()}, number: 1})
		if err != nil {
			t.Fatal(err)
		}
		if err := r.readHeader(); err != nil {
			t.Fatal(err)
		}
		done := make(chan struct{})
		go func() {
			defer close(done)
			p := &silenceProbe{r: r}
			p.onBackupResponse(&http.Response{StatusCode: http.StatusInternalServerError, Body: io.NopCloser(strings.NewReader(""))})
			p.onUnknownStream(backupEvent{})
		}()
		r.finish(eris.Wrap(errNoProgress, "attempt"))
		<-done
	}
}
