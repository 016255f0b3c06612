package fleet

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/papayapond/papayapond/internal/dialer"
	"github.com/papayapond/papayapond/internal/wire"
)

// authority issues certificates for instances.
type authority struct {
	t    *testing.T
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T, name string) *authority {
	t.Helper()
	a := &authority{t: t, dir: t.TempDir()}
	a.cert, a.key = a.issue(name, nil, nil)
	return a
}

// issue makes a certificate that is signed by the parent, or by itself, and
// writes it with its key.
func (a *authority) issue(name string, parent *x509.Certificate, signer *ecdsa.PrivateKey) (*x509.Certificate, *ecdsa.PrivateKey) {
	a.t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		a.t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: name}, DNSNames: []string{name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), BasicConstraintsValid: true, IsCA: parent == nil,
		KeyUsage:    x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	if parent == nil {
		parent, signer = template, key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	if err != nil {
		a.t.Fatal(err)
	}
	raw, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	a.write(name+".crt", "CERTIFICATE", der)
	a.write(name+".key", "EC PRIVATE KEY", raw)
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		a.t.Fatal(err)
	}
	return cert, key
}

func (a *authority) write(name, kind string, der []byte) {
	a.t.Helper()
	text := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	if err := os.WriteFile(filepath.Join(a.dir, name), text, 0o600); err != nil {
		a.t.Fatal(err)
	}
}

// settings returns the TLS part of the settings of an instance.
func (a *authority) settings(name string) string {
	a.issue(name, a.cert, a.key)
	return fmt.Sprintf("\n[tls]\ncertificate = %q\nkey = %q\nauthority = %q\n",
		filepath.Join(a.dir, name+".crt"), filepath.Join(a.dir, name+".key"), filepath.Join(a.dir, "fleet.crt"))
}

// A stranger, without a certificate or with one of another authority, must
// not be able to call an instance, while the fleet works over TLS.
func TestStrangers(t *testing.T) {
	fleetAuthority := newAuthority(t, "fleet")
	f := startSecure(t, []int{1, 1, 1}, fleetAuthority)
	f.engine("engine-a", "a", []int{0})
	f.routes(0)
	if a := f.chat(0, "hello", 4, false, ""); a.status != http.StatusOK {
		t.Errorf("request: got %d %s, want 200", a.status, a.body)
	}

	other := newAuthority(t, "other")
	other.issue("b1", other.cert, other.key)
	foreign, err := tls.LoadX509KeyPair(filepath.Join(other.dir, "b1.crt"), filepath.Join(other.dir, "b1.key"))
	if err != nil {
		t.Fatal(err)
	}
	roots := x509.NewCertPool()
	roots.AddCert(fleetAuthority.cert)
	for _, test := range []struct {
		name string
		cfg  *tls.Config
	}{
		{"plain connection", nil},
		{"no certificate", &tls.Config{RootCAs: roots}},
		{"certificate of another authority", &tls.Config{RootCAs: roots, Certificates: []tls.Certificate{foreign}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			if err := f.callPeer(test.cfg); err == nil {
				t.Error("the call succeeded, want a refusal")
			}
		})
	}

	// A new authority must be in force without a restart.
	fleetAuthority.cert, fleetAuthority.key = fleetAuthority.issue("fleet", nil, nil)
	for _, name := range f.names {
		fleetAuthority.issue(name, fleetAuthority.cert, fleetAuthority.key)
	}
	renewed, err := tls.LoadX509KeyPair(filepath.Join(fleetAuthority.dir, "b1.crt"), filepath.Join(fleetAuthority.dir, "b1.key"))
	if err != nil {
		t.Fatal(err)
	}
	roots = x509.NewCertPool()
	roots.AddCert(fleetAuthority.cert)
	if err := f.callPeer(&tls.Config{RootCAs: roots, Certificates: []tls.Certificate{renewed}}); err != nil {
		t.Errorf("call with a certificate of the new authority: %v", err)
	}
}

// callPeer calls the first instance as a peer would.
func (f *fleet) callPeer(cfg *tls.Config) error {
	var secure func(string) *tls.Config
	if cfg != nil {
		cfg.ServerName = f.names[0]
		secure = func(string) *tls.Config { return cfg }
	}
	d := dialer.New(dialer.Config{Addresses: map[string]string{f.names[0]: f.ports[2]}, TLS: secure})
	defer func() { _ = d.Close() }()
	ctx, cancel := context.WithTimeout(f.t.Context(), 5*time.Second)
	defer cancel()
	_, err := wire.NewDRPCControlClient(d.Conn(f.names[0])).Read(ctx, &wire.ReadRequest{Stale: true})
	return err
}
