package hasher_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"github.com/papayapond/papayapond/internal/engine"
	"github.com/papayapond/papayapond/internal/hasher"
)

// Deployed engines identify their cache blocks by the documented hashes, so
// these must not change.
func TestHashesStable(t *testing.T) {
	got := hasher.New("small").Hashes([]byte(strings.Repeat("0123456789abcdef", 33)), 8)
	if want := []uint64{72690768667437490, 11038201349624689842}; !slices.Equal(got, want) {
		t.Errorf("got %d, want %d", got, want)
	}
}

// A router that hashes requests differently from the engines would never find a
// cached prefix. The simulated engine implements the hash independently.
func TestHashesMatchEngine(t *testing.T) {
	long := strings.Repeat("brown shoes, größe 41 ", 40)
	for _, test := range []struct{ name, messages, tools string }{
		{"string", fmt.Sprintf(`[{"role":"user","content":%q}]`, long), ""},
		{"several", fmt.Sprintf(`[{"role":"system","content":%q},{"role":"user","content":"size\n\u0041"}]`, long), ""},
		{"parts", fmt.Sprintf(`[{"role":"user","content":[{"type":"text","text":%q},{"type":"image_url"},{"type":"text","text":%q}]}]`, long, long), ""},
		{"null", fmt.Sprintf(`[{"role":"assistant","content":null},{"role":"user","content":%q}]`, long), ""},
		{"tools", fmt.Sprintf(`[{"role":"user","content":%q}]`, long), `[ {"type": "function"} ]`},
	} {
		t.Run(test.name, func(t *testing.T) {
			e, err := engine.New(engine.Config{Name: "e", Models: []string{"m"}, Blocks: 64, Slots: 1, Chunk: 1 << 20})
			if err != nil {
				t.Fatal(err)
			}
			go e.Run(t.Context())
			body := `{"model":"m","max_tokens":1,"messages":` + test.messages
			if test.tools != "" {
				body += `,"tools":` + test.tools
			}
			e.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(body+"}")))
			var got []uint64
			for _, ev := range e.Report().Events {
				got = append(got, ev.Hash)
			}
			want := hasher.New("m").Hashes(hasher.Text(json.RawMessage(test.messages), json.RawMessage(test.tools)), 64)
			slices.Sort(got)
			slices.Sort(want)
			if !slices.Equal(got, want) || len(want) == 0 {
				t.Errorf("engine events: got hashes %x, want %x", got, want)
			}
		})
	}
}
