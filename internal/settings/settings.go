package settings

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/rotisserie/eris"

	"github.com/papayapond/papayapond/internal/fault"
)

// DefaultDrainTimeout is the default timeout of a graceful shutdown.
const DefaultDrainTimeout = 2 * time.Minute

// DefaultLoadInterval is the default minimum time between two orders to load a
// model.
const DefaultLoadInterval = 2 * time.Second

// Settings are the settings of a daemon. They don't change after Read.
type Settings struct {
	// Name is the name of the instance, unique in the fleet.
	Name string `toml:"name"`
	// Zone is the availability zone of the instance.
	Zone string `toml:"zone"`
	// Data is the data directory, which contains all files of the instance.
	Data string `toml:"data"`
	// Public is the address for clients and targets, as host:port.
	Public string `toml:"public"`
	// Operator is the address for operators.
	Operator string `toml:"operator"`
	// Peer is the address for the other instances.
	Peer string `toml:"peer"`
	// Metrics is the address for metrics.
	Metrics string `toml:"metrics"`
	// Disk states that the data directory is on durable storage. The instance
	// is then the holder of its zone and a member of the Raft group.
	Disk bool `toml:"disk"`
	// Drain is the timeout of a graceful shutdown, as a Go duration.
	Drain string `toml:"drain"`
	// LoadInterval is the minimum time between two orders to load a model in
	// the fleet, as a Go duration. It follows from the rate limit of the model
	// weight store and must be the same on all peers with a disk.
	LoadInterval string `toml:"loads"`
	// OrderKey is the bearer token for orders to targets, if they require one.
	OrderKey string `toml:"secret"`
	// Level is the log level: debug, info, warn or error.
	Level string `toml:"level"`
	// Bootstrap is the hash of the operator key that is valid until the first
	// configuration is accepted, as salt:sha256 in hex.
	Bootstrap string `toml:"bootstrap"`
	// Policy is the load balancing policy, see docs/routing.md. Empty means the
	// default.
	Policy string `toml:"policy"`
	// Peers are all instances of the fleet, including this one. Metrics is the
	// optional metrics address of a peer, for fleet-wide reports.
	Peers []struct {
		Name    string `toml:"name"`
		Zone    string `toml:"zone"`
		Address string `toml:"address"`
		Metrics string `toml:"metrics"`
		Disk    bool   `toml:"disk"`
	} `toml:"peers"`
	// TLS holds the files for mutual TLS between instances. Without them, peer
	// addresses must be loopback addresses.
	TLS struct {
		Certificate string `toml:"certificate"`
		Key         string `toml:"key"`
		Authority   string `toml:"authority"`
	} `toml:"tls"`
}

// Read reads and checks the settings file at path. The error wraps
// fault.Malformed and lists every problem.
func Read(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, eris.Wrapf(fault.Malformed, "settings: %v", err)
	}
	return Parse(path, text)
}

// Parse parses and checks the content of a settings file. The path is only used
// in errors, which are those of Read.
func Parse(path string, text []byte) (Settings, error) {
	var s Settings
	d := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		return Settings{}, eris.Wrapf(fault.Malformed, "settings: %s", describeError(path, err))
	}
	if s.Drain == "" {
		s.Drain = DefaultDrainTimeout.String()
	}
	if s.LoadInterval == "" {
		s.LoadInterval = DefaultLoadInterval.String()
	}
	if s.Level == "" {
		s.Level = "info"
	}
	var problems []string
	for _, p := range s.problems() {
		problems = append(problems, fmt.Sprintf("%s:%d: %s", path, p.line(text), p.text))
	}
	if len(problems) > 0 {
		return Settings{}, eris.Wrapf(fault.Malformed, "settings: %s", strings.Join(problems, "; "))
	}
	return s, nil
}

// DrainTimeout returns the timeout of a graceful shutdown.
func (s Settings) DrainTimeout() time.Duration {
	d, err := time.ParseDuration(s.Drain)
	if err != nil {
		return DefaultDrainTimeout
	}
	return d
}

// MinLoadInterval returns the minimum time between two orders to load a model.
func (s Settings) MinLoadInterval() time.Duration {
	d, err := time.ParseDuration(s.LoadInterval)
	if err != nil {
		return DefaultLoadInterval
	}
	return d
}

// Holder returns the name of the peer with a disk in the zone, or "" if there
// is none.
func (s Settings) Holder(zone string) string {
	for _, p := range s.Peers {
		if p.Disk && p.Zone == zone {
			return p.Name
		}
	}
	return ""
}

// Holders returns the names of all peers with a disk.
func (s Settings) Holders() []string {
	var names []string
	for _, p := range s.Peers {
		if p.Disk {
			names = append(names, p.Name)
		}
	}
	return names
}
