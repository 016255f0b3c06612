package settings

import (
	"encoding/hex"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/papayapond/papayapond/pkg/account"
)

// sumSize is the size of a SHA-256 digest in bytes.
const sumSize = 32

func (s Settings) problems() []problem {
	var ps []problem
	add := func(key, format string, args ...any) {
		ps = append(ps, problem{key: key, text: key + ": " + fmt.Sprintf(format, args...)})
	}
	for _, v := range []struct{ key, value string }{
		{"name", s.Name}, {"zone", s.Zone}, {"data", s.Data}, {"public", s.Public}, {"operator", s.Operator}, {"peer", s.Peer},
	} {
		if v.value == "" {
			add(v.key, "missing, expected a value")
		}
	}
	used := map[string]string{}
	for _, v := range []struct{ key, value string }{
		{"public", s.Public}, {"operator", s.Operator}, {"peer", s.Peer}, {"metrics", s.Metrics},
	} {
		switch {
		case v.value == "":
		case !isAddress(v.value):
			add(v.key, "%q, expected an IP address and a port such as 127.0.0.1:8080", v.value)
		case used[v.value] != "":
			add(v.key, "%q is already the %s address, expected a different one", v.value, used[v.value])
		}
		used[v.value] = v.key
	}
	if isAddress(s.Peer) && !s.hasTLS() && !isLoopback(s.Peer) {
		add("peer", "%q is not on loopback, expected [tls] files", s.Peer)
	}
	if d, err := time.ParseDuration(s.Drain); err != nil || d <= 0 {
		add("drain", "%q, expected a positive duration such as 2m", s.Drain)
	}
	if d, err := time.ParseDuration(s.LoadInterval); err != nil || d <= 0 {
		add("loads", "%q, expected a positive duration such as 2s", s.LoadInterval)
	}
	switch s.Level {
	case "debug", "info", "warn", "error":
	default:
		add("level", "%q, expected debug, info, warn or error", s.Level)
	}
	if s.Bootstrap != "" && !isHash(s.Bootstrap) {
		// The error omits the value, because it may be the plaintext key.
		add("bootstrap", "malformed, expected salt:sha256 in lower-case hex with a salt of %d bytes or more", account.MinSalt)
	}
	if !s.hasTLS() && s.TLS.Certificate+s.TLS.Key+s.TLS.Authority != "" {
		add("tls", "incomplete, expected certificate, key and authority")
	}
	return append(ps, s.peerProblems()...)
}

func (s Settings) peerProblems() []problem {
	var ps []problem
	names := map[string]bool{}
	disks := map[string]string{}
	for i, p := range s.Peers {
		add := func(key, format string, args ...any) {
			ps = append(ps, problem{table: "peers", index: i, key: key, text: fmt.Sprintf("peers[%d].%s: ", i, key) + fmt.Sprintf(format, args...)})
		}
		switch {
		case p.Name == "":
			add("name", "missing, expected a value")
		case names[p.Name]:
			add("name", "%q is listed twice, expected a unique name", p.Name)
		}
		names[p.Name] = true
		if p.Zone == "" {
			add("zone", "missing, expected a value")
		}
		if !isAddress(p.Address) {
			add("address", "%q, expected an IP address and a port", p.Address)
		} else if !s.hasTLS() && !isLoopback(p.Address) {
			add("address", "%q is not on loopback, expected [tls] files", p.Address)
		}
		if p.Metrics != "" && !isAddress(p.Metrics) {
			add("metrics", "%q, expected an IP address and a port", p.Metrics)
		}
		if other, ok := disks[p.Zone]; ok && p.Disk {
			add("disk", "zone %s has two holders, %s and %s, expected one", p.Zone, other, p.Name)
		}
		if p.Disk {
			disks[p.Zone] = p.Name
		}
		if p.Name == s.Name && p.Zone != s.Zone {
			add("zone", "%q, expected %q as in zone", p.Zone, s.Zone)
		}
		if p.Name == s.Name && p.Disk != s.Disk {
			add("disk", "%v, expected %v as in disk", p.Disk, s.Disk)
		}
	}
	if !names[s.Name] {
		ps = append(ps, problem{key: "peers", text: fmt.Sprintf("peers: %q is missing, expected this instance in the list", s.Name)})
	}
	if len(disks) == 0 {
		ps = append(ps, problem{key: "peers", text: "peers: no peer has a disk, expected a holder in at least one zone"})
	}
	return ps
}

func (s Settings) hasTLS() bool {
	return s.TLS.Certificate != "" && s.TLS.Key != "" && s.TLS.Authority != ""
}

func isAddress(a string) bool {
	host, port, err := net.SplitHostPort(a)
	if err != nil || net.ParseIP(host) == nil {
		return false
	}
	number, err := strconv.ParseUint(port, 10, 16)
	return err == nil && number > 0
}

func isLoopback(a string) bool {
	host, _, err := net.SplitHostPort(a)
	return err == nil && net.ParseIP(host).IsLoopback()
}

// isHash reports whether a text has the format of account.Hash.
func isHash(text string) bool {
	salt, sum, _ := strings.Cut(text, ":")
	rawSalt, saltErr := hex.DecodeString(salt)
	rawSum, sumErr := hex.DecodeString(sum)
	return saltErr == nil && sumErr == nil && len(rawSalt) >= account.MinSalt && len(rawSum) == sumSize && strings.ToLower(text) == text
}
