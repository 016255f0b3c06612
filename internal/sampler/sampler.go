package sampler

import (
	"crypto/sha256"
	"fmt"
	"path/filepath"
	"strings"
	"time"

	"github.com/papayapond/papayapond/pkg/account"
	"github.com/papayapond/papayapond/pkg/group"
	"github.com/papayapond/papayapond/pkg/model"
	"github.com/papayapond/papayapond/pkg/printer"
	"github.com/papayapond/papayapond/pkg/service"
	"github.com/papayapond/papayapond/pkg/venture"
)

// Keys of the sample fleet. They aren't secret, since the fleet listens on
// loopback only.
const (
	OperatorKey = "sample-operator"
	WondimuKey  = "sample-wondimu"
	IbumbaKey   = "sample-ibumba"
	EngineKey   = "sample-engines"
	OrderKey    = "sample-orders"
)

// Model is the name of the model that the sample engines serve.
const Model = "papaya-small"

// Config configures a Sampler.
type Config struct {
	// Zones is the number of instances in each zone. The first instance of
	// each zone has a disk.
	Zones []int
	// Data is the parent of the data directories of the instances.
	Data string
	// Address returns the address of a server of an instance. The servers are
	// 0 public, 1 operator, 2 peer and 3 metrics.
	Address func(instance, server int) string
	// Peer returns the address at which one instance reaches another. If it is
	// nil, instances use the peer address of the other instance.
	Peer func(from, to int) string
	// Budget is the prepaid budget of each account, in tokens.
	Budget int64
	// Start and End are the dates of the venture.
	Start, End time.Time
}

// Sampler generates the files of one sample fleet.
type Sampler struct {
	cfg       Config
	instances []instance
}

type instance struct {
	name, zone string
	disk       bool
}

// New returns a sampler. An instance is named after its zone and its number in
// the zone, such as a1.
func New(cfg Config) *Sampler {
	if cfg.Peer == nil {
		cfg.Peer = func(_, to int) string { return cfg.Address(to, 2) }
	}
	s := &Sampler{cfg: cfg}
	for z, n := range cfg.Zones {
		zone := string(rune('a' + z))
		for i := range n {
			s.instances = append(s.instances, instance{fmt.Sprintf("%s%d", zone, i+1), zone, i == 0})
		}
	}
	return s
}

// Names returns the names of all instances.
func (s *Sampler) Names() []string {
	names := make([]string, 0, len(s.instances))
	for _, i := range s.instances {
		names = append(names, i.name)
	}
	return names
}

// Zone returns the zone of the i-th instance.
func (s *Sampler) Zone(i int) string { return s.instances[i].zone }

// Settings returns the settings file of the i-th instance.
func (s *Sampler) Settings(i int) []byte {
	own := s.instances[i]
	var b strings.Builder
	fmt.Fprintf(&b, "name = %q\nzone = %q\ndata = %q\n", own.name, own.zone, filepath.Join(s.cfg.Data, own.name))
	for n, key := range []string{"public", "operator", "peer", "metrics"} {
		fmt.Fprintf(&b, "%s = %q\n", key, s.cfg.Address(i, n))
	}
	fmt.Fprintf(&b, "disk = %v\ndrain = \"30s\"\nlevel = \"info\"\nbootstrap = %q\n", own.disk, hash(OperatorKey))
	for n, p := range s.instances {
		fmt.Fprintf(&b, "\n[[peers]]\nname = %q\nzone = %q\naddress = %q\nmetrics = %q\ndisk = %v\n", p.name, p.zone, s.cfg.Peer(i, n), s.cfg.Address(n, 3), p.disk)
	}
	return []byte(b.String())
}

// Venture returns the sample configuration, version 1.
func (s *Sampler) Venture() venture.Venture {
	return venture.New("sample", s.cfg.Start, s.cfg.End).
		WithVersion(1, 0).
		WithReserve(0.25).
		WithOperator("owner", hash(OperatorKey)).
		WithModels(model.New(Model, 256, 32768)).
		WithServices(service.New("orders", 5).
			WithCall("POST", "/orders").
			WithRepeatable("GET", "/orders/*").
			WithRepeatable("GET", "/stock/*")).
		WithGroups(
			group.New("engine", "engine").WithKey(hash(EngineKey)),
			group.New("order", "service").WithKey(hash(OrderKey))).
		WithAccounts(
			account.New("ibumba", s.cfg.Budget).WithKeys(hash(IbumbaKey)).WithModels(Model).WithServices("orders").WithGroups("engine", "order").WithWeight(2),
			account.New("wondimu", s.cfg.Budget).WithKeys(hash(WondimuKey)).WithModels(Model).WithServices("orders").WithGroups("engine", "order").WithWeight(1))
}

// Configuration returns the text of the sample configuration.
func (s *Sampler) Configuration() []byte { return printer.Text(s.Venture()) }

// hash hashes a sample key with a salt derived from the key alone, so that the
// configuration is reproducible.
func hash(key string) string {
	salt := sha256.Sum256([]byte("sample salt " + key))
	return account.Hash(salt[:8], key)
}
