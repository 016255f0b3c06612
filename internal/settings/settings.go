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

// DefaultDrainTimeout bounds a planned stop if the file gives no other value.
const DefaultDrainTimeout = 2 * time.Minute

// DefaultLoadInterval is the least time between two load orders if the file
// gives no other value.
const DefaultLoadInterval = 2 * time.Second

// Settings are the settings of one daemon. They are not changed after Read.
type Settings struct {
	// Name is the name of the instance, unique in the fleet.
	Name string `toml:"name"`
	// Zone is the availability zone of the instance.
	Zone string `toml:"zone"`
	// Data is the data folder. All files of the instance are below it.
	Data string `toml:"data"`
	// Public is the address for callers and targets, host:port.
	Public string `toml:"public"`
	// Operator is the address for operators.
	Operator string `toml:"operator"`
	// Peer is the address for other instances.
	Peer string `toml:"peer"`
	// Metrics is the address for metrics.
	Metrics string `toml:"metrics"`
	// Disk tells that the data folder lasts, so that the instance is the
	// holder of its zone and a control member.
	Disk bool `toml:"disk"`
	// Drain bounds a planned stop, as a Go duration.
	Drain string `toml:"drain"`
	// LoadInterval is the least time between two orders of the fleet to load a
	// model, as a Go duration. It follows from the rate limit of the weight
	// store and is the same on all peers with a disk.
	LoadInterval string `toml:"loads"`
	// OrderKey is the bearer key that targets demand of orders, if any.
	OrderKey string `toml:"secret"`
	// Level is the log level: debug, info, warn or error.
	Level string `toml:"level"`
	// Bootstrap is the hash of the operator key that is valid until the first
	// configuration is accepted, as salt:hash in hex.
	Bootstrap string `toml:"bootstrap"`
	// Policy is the policy by which targets are chosen, see docs/routing.md.
	// Empty means the default.
	Policy string `toml:"policy"`
	// Peers are all instances of the fleet, this one included. Metrics is the
	// address for metrics of a peer, for reports over the fleet; it may be
	// empty.
	Peers []struct {
		Name    string `toml:"name"`
		Zone    string `toml:"zone"`
		Address string `toml:"address"`
		Metrics string `toml:"metrics"`
		Disk    bool   `toml:"disk"`
	} `toml:"peers"`
	// TLS holds the files for mutual TLS between instances. Without them only
	// loopback addresses are accepted.
	TLS struct {
		Certificate string `toml:"certificate"`
		Key         string `toml:"key"`
		Authority   string `toml:"authority"`
	} `toml:"tls"`
}

// Read reads and checks the settings in the file at path. The error wraps
// fault.Malformed and lists every problem found.
func Read(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, eris.Wrapf(fault.Malformed, "settings: %v", err)
	}
	return Parse(path, text)
}

// Parse is Read with the content of the file at hand; path is used in errors.
func Parse(path string, text []byte) (Settings, error) {
	var s Settings
	d := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		return Settings{}, eris.Wrapf(fault.Malformed, "settings: %s", describe(path, err))
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

// DrainTimeout returns the bound of a planned stop.
func (s Settings) DrainTimeout() time.Duration {
	d, err := time.ParseDuration(s.Drain)
	if err != nil {
		return DefaultDrainTimeout
	}
	return d
}

// MinLoadInterval returns the least time between two load orders.
func (s Settings) MinLoadInterval() time.Duration {
	d, err := time.ParseDuration(s.LoadInterval)
	if err != nil {
		return DefaultLoadInterval
	}
	return d
}

// Holder returns the name of the peer with a disk in the zone, or "".
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
