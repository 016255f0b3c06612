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

// DefaultDrain bounds a planned stop if the file gives no other value.
const DefaultDrain = 2 * time.Minute

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
	LoadInterval string `toml:"load_interval"`
	// OrderKey is the bearer key that targets demand of orders, if any.
	OrderKey string `toml:"order_key"`
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
		s.Drain = DefaultDrain.String()
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

// DrainTime returns the bound of a planned stop.
func (s Settings) DrainTime() time.Duration {
	d, err := time.ParseDuration(s.Drain)
	if err != nil {
		return DefaultDrain
	}
	return d
}

// LoadTime returns the least time between two load orders.
func (s Settings) LoadTime() time.Duration {
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
<<<<<<< HEAD
=======

type problem struct {
	key, text string
}

func (s Settings) problems() []problem {
	var ps []problem
	add := func(key, format string, args ...any) {
		ps = append(ps, problem{key, key + ": " + fmt.Sprintf(format, args...)})
	}
	for _, v := range []struct{ key, value string }{
		{"name", s.Name}, {"zone", s.Zone}, {"data", s.Data}, {"public", s.Public}, {"operator", s.Operator}, {"peer", s.Peer},
	} {
		if v.value == "" {
			add(v.key, "missing, expected a value")
		}
	}
	for _, v := range []struct{ key, value string }{
		{"public", s.Public}, {"operator", s.Operator}, {"peer", s.Peer}, {"metrics", s.Metrics},
	} {
		if v.value != "" && !isAddress(v.value) {
			add(v.key, "%q, expected an IP address and a port such as 127.0.0.1:8080", v.value)
		}
	}
	if d, err := time.ParseDuration(s.Drain); err != nil || d <= 0 {
		add("drain", "%q, expected a positive duration such as 2m", s.Drain)
	}
	if d, err := time.ParseDuration(s.LoadInterval); err != nil || d <= 0 {
		add("load_interval", "%q, expected a positive duration such as 2s", s.LoadInterval)
	}
	switch s.Level {
	case "debug", "info", "warn", "error":
	default:
		add("level", "%q, expected debug, info, warn or error", s.Level)
	}
	return append(ps, s.peerProblems()...)
}

func (s Settings) peerProblems() []problem {
	var ps []problem
	add := func(key, format string, args ...any) {
		ps = append(ps, problem{key, key + ": " + fmt.Sprintf(format, args...)})
	}
	names := map[string]bool{}
	disks := map[string]string{}
	self := false
	secure := s.TLS.Certificate != "" && s.TLS.Key != "" && s.TLS.Authority != ""
	if !secure && s.TLS.Certificate+s.TLS.Key+s.TLS.Authority != "" {
		add("tls", "incomplete, expected certificate, key and authority")
	}
	for _, p := range s.Peers {
		if names[p.Name] {
			add("peers", "%q is listed twice", p.Name)
		}
		names[p.Name] = true
		if !isAddress(p.Address) {
			add("peers", "%s: address %q, expected an IP address and a port", p.Name, p.Address)
		} else if !secure && !isLoopback(p.Address) {
			add("peers", "%s: address %q is not on loopback, expected [tls] files", p.Name, p.Address)
		}
		if p.Disk {
			if other, ok := disks[p.Zone]; ok {
				add("peers", "zone %s has two holders, %s and %s, expected one", p.Zone, other, p.Name)
			}
			disks[p.Zone] = p.Name
		}
		if p.Name == s.Name {
			self = true
			if p.Zone != s.Zone || p.Disk != s.Disk {
				add("peers", "%s: zone and disk contradict the settings of this instance", p.Name)
			}
		}
	}
	if !self {
		add("peers", "%q is not among them, expected this instance too", s.Name)
	}
	if len(disks) == 0 {
		add("peers", "no peer has a disk, expected a holder in at least one zone")
	}
	return ps
}

func isAddress(a string) bool {
	host, port, err := net.SplitHostPort(a)
	return err == nil && net.ParseIP(host) != nil && port != ""
}

func isLoopback(a string) bool {
	host, _, err := net.SplitHostPort(a)
	return err == nil && net.ParseIP(host).IsLoopback()
}

// describe turns an error of the decoder into one line with file, line and
// key.
func describe(path string, err error) string {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		lines := make([]string, 0, len(strict.Errors))
		for i := range strict.Errors {
			row, _ := strict.Errors[i].Position()
			lines = append(lines, fmt.Sprintf("%s:%d: %s: unknown key", path, row, strings.Join(strict.Errors[i].Key(), ".")))
		}
		return strings.Join(lines, "; ")
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		row, _ := decode.Position()
		return fmt.Sprintf("%s:%d: %s: %s", path, row, strings.Join(decode.Key(), "."), decode.Error())
	}
	return fmt.Sprintf("%s: %v", path, err)
}

// line returns the line of the first assignment to key or table of that name,
// or 1.
func line(text []byte, key string) int {
	for i, l := range strings.Split(string(text), "\n") {
		l = strings.TrimSpace(l)
		if strings.HasPrefix(l, key) && strings.HasPrefix(strings.TrimSpace(l[len(key):]), "=") || strings.HasPrefix(l, "[["+key+"]]") || strings.HasPrefix(l, "["+key+"]") {
			return i + 1
		}
	}
	return 1
}
>>>>>>> orders
