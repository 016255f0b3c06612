package forwarder_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rotisserie/eris"

	"google.golang.org/protobuf/proto"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/forwarder"
	"github.com/papayapond/papayapond/internal/wire"
	"github.com/papayapond/papayapond/pkg/route"
)

// setVersions sets the software versions of the targets, in their order.
func (f *fixture) setVersions(versions ...string) {
	listings := make([]*wire.Listing, len(f.listings))
	for i, l := range f.listings {
		listings[i] = proto.CloneOf(l)
		listings[i].Version = versions[i]
	}
	f.balancer.SetTargets(listings)
}

// begin is a handler that breaks off in a stream that begins, and completes one
// that goes on.
func begin(n int, w io.Writer, r *http.Request) bool {
	if r.Header.Get("Last-Event-Id") == "" {
		return events("first", 1, 3, true)(n, w, r)
	}
	return events("second", 4, 6, false)(n, w, r)
}

// A stream whose target fails must go on at a target of the same software
// version: what two versions write doesn't fit together, and targets don't
// check it. Callers got whole answers that were joined from two versions.
func TestResumeAtSameVersion(t *testing.T) {
	versions := []string{"v1", "v2", "v1", "v2", "v1", "v2"}
	version := func(r *http.Request) string { return versions[r.Header.Get(headers.Target)[0]-'a'] }
	for range 10 {
		f := newFixture(t, begin, begin, begin, begin, begin, begin)
		f.setVersions(versions...)
		if _, body, err := f.post("/resume/", nil); err != nil || body != stream(6) {
			t.Errorf("got %q and %v, want events 1 to 6", body, err)
		}
		requests := f.requests()
		if len(requests) != 2 {
			t.Fatalf("got %d requests to targets, want 2", len(requests))
		}
		if got, want := version(requests[1]), version(requests[0]); got != want {
			t.Errorf("the stream of version %s goes on at version %s", want, got)
		}
	}
}

// A stream whose software version no other target has must end incomplete, and
// must not reach a target of another version.
func TestNoTargetOfVersion(t *testing.T) {
	f := newFixture(t, events("first", 1, 3, true), events("second", 4, 6, false))
	f.setVersions("v2", "v1")
	_, body, err := f.post("/resume/", nil)
	if err == nil {
		t.Errorf("got the whole answer %q, want a truncated one", body)
	}
	if got, want := len(f.requests()), 1; got != want {
		t.Errorf("got %d requests to targets, want %d", got, want)
	}
}

// origins is a stand-in for the records of the fleet.
type origins struct {
	mu      sync.Mutex
	records []string
	pool    string // of the traced streams
	version string
	err     error
}

func (o *origins) configure(c *forwarder.Config) {
	c.Record = func(account, attempt, pool, version string) {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.records = append(o.records, fmt.Sprint(account, " ", attempt, " ", pool, " ", version))
	}
	c.Trace = func(_ context.Context, account, attempt string, r route.Route, window time.Duration) (string, string, error) {
		if account != "shop" || attempt != "id0" || r.Name != "/resume/" || window != 4*time.Second {
			return "", "", eris.Errorf("got a search for %s, %s, %s, %v", account, attempt, r.Name, window)
		}
		return o.pool, o.version, o.err
	}
}

func takeUp(r *http.Request) {
	r.Header.Set("Last-Event-Id", "3")
	r.Header.Set(headers.Resumes, "id0")
}

// A stream that a caller takes up must go on at the software version that began
// it, or be refused: the entry instance that knew of the first attempt may have
// been killed. Take-ups were sent to any version.
func TestTakeUp(t *testing.T) {
	unknown := eris.Wrap(fault.Unavailable, "not found")
	for _, test := range []struct {
		name   string
		origin *origins
		status int
		target string // that gets the request
	}{
		{"known", &origins{pool: "p", version: "v2"}, http.StatusOK, "b"},
		{"unknown", &origins{err: unknown}, http.StatusServiceUnavailable, ""},
		{"no target has the version", &origins{pool: "p", version: "v3"}, http.StatusServiceUnavailable, ""},
		{"the route no longer leads to the pool", &origins{pool: "q", version: "v1"}, http.StatusServiceUnavailable, ""},
	} {
		f := newFixtureWith(t, test.origin.configure, begin, begin, begin)
		f.setVersions("v1", "v2", "v1")
		a, body, err := f.post("/resume/", takeUp)
		if err != nil || a.StatusCode != test.status {
			t.Errorf("%s: got status %d and %v, want %d", test.name, a.StatusCode, err, test.status)
		}
		if test.target == "" {
			if got := len(f.requests()); got != 0 {
				t.Errorf("%s: got %d requests to targets, want 0", test.name, got)
			}
			continue
		}
		if want := stream(6)[len(stream(3)):]; body != want {
			t.Errorf("%s: got %q, want %q", test.name, body, want)
		}
		if got, want := f.requests()[0].Header.Get(headers.Target), test.target; got != want {
			t.Errorf("%s: got target %s, want %s", test.name, got, want)
		}
		if len(test.origin.records) > 0 {
			t.Errorf("%s: got records %q, want none: the first attempt has one", test.name, test.origin.records)
		}
	}
}

// The version that began a stream must be recorded once, before the caller has
// an event of it, for the attempt and the target that brought the first event.
func TestRecordOrigin(t *testing.T) {
	for _, test := range []struct {
		name, path string
		scripts    []handler
		versions   []string
		want       []string
	}{
		{"resumable", "/resume/", []handler{events("a", 1, 3, false)}, []string{"v1"}, []string{"shop id1 p v1"}},
		{"gone on elsewhere", "/resume/", []handler{begin, begin}, []string{"v1", "v1"}, []string{"shop id1 p v1"}},
		{"failed before its first event", "/resume/", []handler{closeConnection, events("b", 1, 3, false)}, []string{"v1", "v2"}, []string{"shop id1 p v2"}},
		{"not resumable", "/stream/", []handler{events("a", 1, 3, false)}, []string{"v1"}, nil},
		{"no stream", "/again/", []handler{respond(200, signed, "answer")}, []string{"v1"}, nil},
		{"refused", "/resume/", []handler{respond(503, "X-Refused: 1\r\n", "")}, []string{"v1"}, nil},
	} {
		o := &origins{}
		f := newFixtureWith(t, o.configure, test.scripts...)
		f.setVersions(test.versions...)
		if _, _, err := f.post(test.path, nil); err != nil {
			t.Errorf("%s: %v", test.name, err)
		}
		o.mu.Lock()
		if !slices.Equal(o.records, test.want) {
			t.Errorf("%s: got records %q, want %q", test.name, o.records, test.want)
		}
		o.mu.Unlock()
	}
}
