package settings

import (
	"errors"
	"strings"
	"testing"

	"github.com/papayapond/papayapond/internal/fault"
)

const valid = `name = "a1"
zone = "a"
data = "data/a1"
public = "127.0.0.1:7000"
operator = "127.0.0.1:7001"
peer = "127.0.0.1:7002"
disk = true

[[peers]]
name = "a1"
zone = "a"
address = "127.0.0.1:7002"
metrics = "127.0.0.1:7003"
disk = true

[[peers]]
name = "b1"
zone = "b"
address = "127.0.0.1:7032"
`

// A valid file must be accepted, and the defaults must not change unnoticed.
func TestParseValid(t *testing.T) {
	s, err := Parse("a1.toml", []byte(valid))
	if err != nil {
		t.Fatal(err)
	}
	if got, want := s.DrainTimeout(), DefaultDrainTimeout; got != want {
		t.Errorf("drain: got %v, want %v", got, want)
	}
	if got, want := s.Level, "info"; got != want {
		t.Errorf("level: got %s, want %s", got, want)
	}
	if got, want := s.Holder("a")+s.Holder("b"), "a1"; got != want {
		t.Errorf("holders: got %s, want %s", got, want)
	}
}

// Invalid files must be rejected with errors that state the file, line, key and
// expected value.
func TestParseInvalid(t *testing.T) {
	const incompleteTLS = "\n[tls]\ncertificate = \"c\"\n"
	for _, c := range []struct {
		name, old, new, want string
	}{
		{"missing name", `name = "a1"` + "\nzone", "zone", `a1.toml:1: name: missing, expected a value`},
		{"missing address", `operator = "127.0.0.1:7001"`, "", `a1.toml:1: operator: missing, expected a value`},
		{"host name", `"127.0.0.1:7000"`, `"localhost:7000"`, `a1.toml:4: public: "localhost:7000", expected an IP address and a port such as 127.0.0.1:8080`},
		{"named port", `"127.0.0.1:7000"`, `"127.0.0.1:http"`, `a1.toml:4: public: "127.0.0.1:http", expected an IP address and a port`},
		{"port out of range", `"127.0.0.1:7000"`, `"127.0.0.1:70000"`, `a1.toml:4: public: "127.0.0.1:70000", expected`},
		{"same address", `"127.0.0.1:7001"`, `"127.0.0.1:7000"`, `a1.toml:5: operator: "127.0.0.1:7000" is already the public address, expected a different one`},
		{"open peer address", `peer = "127.0.0.1:7002"`, `peer = "0.0.0.0:7002"`, `a1.toml:6: peer: "0.0.0.0:7002" is not on loopback, expected [tls] files`},
		{"loads", "disk = true\n\n", "disk = true\nloads = \"0s\"\n\n", `a1.toml:8: loads: "0s", expected a positive duration such as 2s`},
		{"drain", "disk = true\n\n", "disk = true\ndrain = \"soon\"\n\n", `a1.toml:8: drain: "soon", expected a positive duration such as 2m`},
		{"level", "disk = true\n\n", "disk = true\nlevel = \"loud\"\n\n", `a1.toml:8: level: "loud", expected debug, info, warn or error`},
		{"bootstrap", "disk = true\n\n", "disk = true\nbootstrap = \"secret-key\"\n\n", `a1.toml:8: bootstrap: malformed, expected salt:sha256`},
		{"type of a string", `zone = "a"` + "\ndata", "zone = 3\ndata", `a1.toml:2: zone: expected a string`},
		{"type of a bool", "disk = true\n\n", "disk = \"yes\"\n\n", `a1.toml:7: disk: expected true or false`},
		{"type in a table", `metrics = "127.0.0.1:7003"`, "metrics = 7003", `a1.toml:13: peers.metrics: expected a string`},
		{"unknown key", "disk = true\n\n", "color = \"red\"\ndisk = true\n\n", `a1.toml:7: color: unknown key, expected one of name, zone, data,`},
		{"unknown key in a table", `metrics = "127.0.0.1:7003"`, `metric = "127.0.0.1:7003"`, `a1.toml:13: peers.metric: unknown key, expected one of name, zone, address, metrics, disk`},
		{"syntax", `zone = "a"` + "\ndata", "zone = \"a\ndata", `a1.toml:2: `},
		{"twice", `data = "data/a1"`, `zone = "b"`, `a1.toml:3: `},
		{"peer without a name", `name = "b1"`, "", `a1.toml:16: peers[1].name: missing, expected a value`},
		{"peer without a zone", `zone = "b"`, "", `a1.toml:16: peers[1].zone: missing, expected a value`},
		{"peer twice", `name = "b1"`, `name = "a1"`, `a1.toml:17: peers[1].name: "a1" is listed twice`},
		{"peer address", `"127.0.0.1:7032"`, `"b1:7032"`, `a1.toml:19: peers[1].address: "b1:7032", expected an IP address and a port`},
		{"peer not on loopback", `"127.0.0.1:7032"`, `"10.0.0.1:7032"`, `a1.toml:19: peers[1].address: "10.0.0.1:7032" is not on loopback, expected [tls] files`},
		{"peer metrics", `"127.0.0.1:7003"`, `"7003"`, `a1.toml:13: peers[0].metrics: "7003", expected an IP address and a port`},
		{"two holders", `zone = "b"`, "zone = \"a\"\ndisk = true", `a1.toml:19: peers[1].disk: zone a has two holders, a1 and b1, expected one`},
		{"own zone", "name = \"a1\"\nzone = \"a\"\naddress", "name = \"a1\"\nzone = \"c\"\naddress", `a1.toml:11: peers[0].zone: "c", expected "a" as in zone`},
		{"own disk", "disk = true\n\n", "\n\n", `a1.toml:14: peers[0].disk: true, expected false as in disk`},
		{"not among the peers", `name = "a1"` + "\nzone = \"a\"\ndata", "name = \"a9\"\nzone = \"a\"\ndata", `a1.toml:9: peers: "a9" is missing, expected this instance in the list`},
		{"no holder", "metrics = \"127.0.0.1:7003\"\ndisk = true", "", `a1.toml:9: peers: no peer has a disk, expected a holder in at least one zone`},
		{"incomplete tls", "address = \"127.0.0.1:7032\"\n", "address = \"127.0.0.1:7032\"\n" + incompleteTLS, `a1.toml:21: tls: incomplete, expected certificate, key and authority`},
	} {
		t.Run(c.name, func(t *testing.T) {
			text := strings.Replace(valid, c.old, c.new, 1)
			if text == valid {
				t.Fatalf("%q doesn't occur in the valid file", c.old)
			}
			_, err := Parse("a1.toml", []byte(text))
			if !errors.Is(err, fault.Malformed) {
				t.Fatalf("got error %v, want one of kind malformed", err)
			}
			if !strings.Contains(err.Error(), c.want) {
				t.Errorf("got  %v\nwant %s", err, c.want)
			}
			if strings.Contains(err.Error(), "secret-key") {
				t.Errorf("got a key in error %v", err)
			}
		})
	}
}
