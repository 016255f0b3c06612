package ruleset

import (
	"bytes"
	"cmp"
	"compress/gzip"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/pkg/pool"
	"github.com/papayapond/papayapond/pkg/prepaid"
	"github.com/papayapond/papayapond/pkg/route"
)

// maxDecodedBytes limits the size of a decompressed ruleset.
const maxDecodedBytes = 64 << 20

// Config holds the parts of a Ruleset.
type Config struct {
	Version  uint64            `json:"version"`
	Routes   []route.Route     `json:"routes"`
	Pools    []pool.Pool       `json:"pools"`
	Accounts []prepaid.Prepaid `json:"accounts"`
	// Open rulesets have no accounts; their requests need no key.
	Open bool `json:"open"`
	// MaxHeaderBytes and MaxBodyBytes limit the header and the body of a
	// request.
	MaxHeaderBytes int `json:"header"`
	MaxBodyBytes   int `json:"body"`
	// HeaderTimeout limits how long a caller may take to send a header,
	// IdleTimeout how long it may keep an idle connection.
	HeaderTimeout time.Duration `json:"receive"`
	IdleTimeout   time.Duration `json:"idle"`
}

// Ruleset is a validated version. It is immutable and safe for concurrent use.
type Ruleset struct {
	cfg    Config
	byHost map[string][]route.Route // by descending prefix length
	pools  map[string]pool.Pool
	byKey  map[string]prepaid.Prepaid // by key
	byName map[string]prepaid.Prepaid
}

// New validates the parts. The error wraps fault.Malformed.
func New(cfg Config) (*Ruleset, error) {
	r := &Ruleset{
		cfg:    cfg,
		byHost: map[string][]route.Route{},
		pools:  map[string]pool.Pool{},
		byKey:  map[string]prepaid.Prepaid{},
		byName: map[string]prepaid.Prepaid{},
	}
	for _, p := range cfg.Pools {
		r.pools[p.Name] = p
	}
	for _, t := range cfg.Routes {
		if err := r.addRoute(t); err != nil {
			return nil, err
		}
	}
	for _, list := range r.byHost {
		slices.SortStableFunc(list, func(a, b route.Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return r, r.indexAccounts()
}

// addRoute validates a route and adds it to the routes of its host.
func (r *Ruleset) addRoute(t route.Route) error {
	total := 0
	for _, s := range t.Split {
		if _, ok := r.pools[s.Pool]; !ok {
			return eris.Wrapf(fault.Malformed, "route %q names the unknown pool %q", t.Name, s.Pool)
		}
		if s.Weight < 0 {
			return eris.Wrapf(fault.Malformed, "route %q has a negative weight", t.Name)
		}
		total += s.Weight
	}
	switch {
	case total <= 0:
		return eris.Wrapf(fault.Malformed, "the weights of route %q add up to 0", t.Name)
	case t.Timeout <= 0:
		return eris.Wrapf(fault.Malformed, "route %q has no timeout", t.Name)
	case !strings.HasPrefix(t.Prefix, "/") || !strings.HasSuffix(t.Prefix, "/"):
		return eris.Wrapf(fault.Malformed, "the prefix of route %q doesn't begin and end with a slash", t.Name)
	case t.Host == "":
		return eris.Wrapf(fault.Malformed, "route %q has no host", t.Name)
	}
	host := strings.ToLower(t.Host)
	if slices.ContainsFunc(r.byHost[host], func(o route.Route) bool { return o.Prefix == t.Prefix }) {
		return eris.Wrapf(fault.Malformed, "two routes have host %q and prefix %q", t.Host, t.Prefix)
	}
	r.byHost[host] = append(r.byHost[host], t)
	return nil
}

// indexAccounts indexes the accounts by name and key.
func (r *Ruleset) indexAccounts() error {
	for _, a := range r.cfg.Accounts {
		if _, ok := r.byName[a.Name]; ok {
			return eris.Wrapf(fault.Malformed, "two accounts have the name %q", a.Name)
		}
		r.byName[a.Name] = a
		for _, key := range a.Keys {
			if other, ok := r.byKey[key]; ok && other.Name != a.Name {
				return eris.Wrapf(fault.Malformed, "the accounts %q and %q share a key", other.Name, a.Name)
			}
			r.byKey[key] = a
		}
	}
	return nil
}

// Decode decodes the output of Encode.
func Decode(data []byte) (*Ruleset, error) {
	reader, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, eris.Wrapf(fault.Malformed, "ruleset: %v", err)
	}
	var cfg Config
	if err := json.NewDecoder(io.LimitReader(reader, maxDecodedBytes)).Decode(&cfg); err != nil {
		return nil, eris.Wrapf(fault.Malformed, "ruleset: %v", err)
	}
	return New(cfg)
}

// Encode returns the ruleset in the format exchanged between instances. It is
// compressed, because after a partition all instances fetch a new version at
// the same time.
func (r *Ruleset) Encode() ([]byte, error) {
	var b bytes.Buffer
	w, err := gzip.NewWriterLevel(&b, gzip.BestSpeed)
	if err == nil {
		err = json.NewEncoder(w).Encode(r.cfg)
	}
	if err == nil {
		err = w.Close()
	}
	return b.Bytes(), eris.Wrap(err, "encode ruleset")
}

// Version returns the version number; a higher version replaces a lower one.
func (r *Ruleset) Version() uint64 { return r.cfg.Version }

// Config returns the parts. They must not be modified.
func (r *Ruleset) Config() Config { return r.cfg }

// Match returns the route of the host with the longest prefix of the path. The
// host may include a port.
func (r *Ruleset) Match(host, path string) (route.Route, bool) {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, t := range r.byHost[strings.ToLower(host)] {
		if t.Matches(path) {
			return t, true
		}
	}
	return route.Route{}, false
}

// Routing returns a digest of the routes of the same host whose prefixes begin with
// that of a route, and of the pools that each of them leads to, or "" for an unknown
// route. These are the routes that may get its requests if it changes, and without it
// the digest is another one. A weight counts only as 0 or not.
func (r *Ruleset) Routing(of route.Route) string {
	h := sha256.New()
	known := false
	for _, t := range r.byHost[strings.ToLower(of.Host)] {
		if !strings.HasPrefix(t.Prefix, of.Prefix) {
			continue
		}
		known = known || t.Prefix == of.Prefix
		var pools []string
		for _, s := range t.Split {
			if s.Weight > 0 {
				pools = append(pools, s.Pool)
			}
		}
		slices.Sort(pools)
		_, _ = fmt.Fprintf(h, "%q %q\n", t.Prefix, slices.Compact(pools)) // never returns an error
	}
	if !known {
		return ""
	}
	return hex.EncodeToString(h.Sum(nil)[:8])
}

// Routings returns the digest of each route whose streams may be resumed, by its base.
func (r *Ruleset) Routings() map[string]string {
	digests := map[string]string{}
	for _, t := range r.cfg.Routes {
		if t.Kind == route.Stream && t.Resume {
			digests[t.Base()] = r.Routing(t)
		}
	}
	return digests
}

// Pool returns the pool with a name.
func (r *Ruleset) Pool(name string) (pool.Pool, bool) {
	p, ok := r.pools[name]
	return p, ok
}

// AccountByKey returns the account with a key.
func (r *Ruleset) AccountByKey(key string) (prepaid.Prepaid, bool) {
	a, ok := r.byKey[key]
	return a, ok
}

// Account returns the account with a name.
func (r *Ruleset) Account(name string) (prepaid.Prepaid, bool) {
	a, ok := r.byName[name]
	return a, ok
}
