package injector

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/papayapond/papayapond/internal/fault"
)

// maxBody bounds the body of a request to Handler.
const maxBody = 1 << 16

// Injector holds a list of rules, each of which produces one kind of fault.
// It is safe for concurrent use.
type Injector struct {
	kinds []string

	mu    sync.Mutex
	rng   *rand.Rand
	rules []rule
}

// rule is one fault. Marker restricts it to requests that contain the text.
type rule struct {
	Kind   string  `json:"kind"`
	Marker string  `json:"marker,omitempty"`
	Share  float64 `json:"share,omitempty"` // of the matching requests; 0 is all
	Times  int     `json:"times,omitempty"` // 0 is unlimited
	Value  float64 `json:"value,omitempty"` // depends on the kind
	Hits   int     `json:"hits"`
}

// New returns an injector for the given kinds of faults. A rule is written
// "kind[,marker=TEXT][,share=0..1][,times=N][,value=X]".
func New(kinds, rules []string, seed uint64) (*Injector, error) {
	j := &Injector{kinds: kinds, rng: rand.New(rand.NewPCG(seed, 0))}
	for _, text := range rules {
		r, err := parse(text)
		if err != nil {
			return nil, err
		}
		j.rules = append(j.rules, r)
	}
	return j, j.check(j.rules)
}

// Hit reports whether a fault of the kind is to be produced for a request with
// the given text, and the value of its rule.
func (j *Injector) Hit(kind, text string) (value float64, ok bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for i := range j.rules {
		r := &j.rules[i]
		if r.Kind != kind || r.Times > 0 && r.Hits >= r.Times || !strings.Contains(text, r.Marker) {
			continue
		}
		if r.Share > 0 && j.rng.Float64() >= r.Share {
			continue
		}
		r.Hits++
		return r.Value, true
	}
	return 0, false
}

// ServeHTTP shows the rules on GET and replaces them on PUT, both as a JSON
// list of objects with kind, marker, share, times and value.
func (j *Injector) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPut {
		var rules []rule
		err := json.NewDecoder(io.LimitReader(r.Body, maxBody)).Decode(&rules)
		if err == nil {
			err = j.check(rules)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		j.mu.Lock()
		j.rules = rules
		j.mu.Unlock()
	}
	j.mu.Lock()
	body, err := json.Marshal(append([]rule{}, j.rules...))
	j.mu.Unlock()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body) // the caller may be gone
}

func (j *Injector) check(rules []rule) error {
next:
	for _, r := range rules {
		for _, k := range j.kinds {
			if k == r.Kind {
				continue next
			}
		}
		return eris.Wrapf(fault.Malformed, "fault %q: got an unknown kind, want one of %s", r.Kind, strings.Join(j.kinds, ", "))
	}
	return nil
}

func parse(text string) (rule, error) {
	fields := strings.Split(text, ",")
	r := rule{Kind: fields[0]}
	for _, f := range fields[1:] {
		key, value, _ := strings.Cut(f, "=")
		var err error
		switch key {
		case "marker":
			r.Marker = value
		case "share":
			r.Share, err = strconv.ParseFloat(value, 64)
		case "times":
			r.Times, err = strconv.Atoi(value)
		case "value":
			r.Value, err = strconv.ParseFloat(value, 64)
		default:
			err = eris.Errorf("unknown field %q", key)
		}
		if err != nil {
			return r, eris.Wrapf(fault.Malformed, "fault %q: %v", text, err)
		}
	}
	return r, nil
}
