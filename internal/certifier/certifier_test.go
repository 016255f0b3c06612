package certifier

import (
	"crypto/x509"
	"encoding/pem"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/fault"
)

// Replacing the files one by one must not disconnect the instance, but invalid
// files must fail at startup.
func TestUnreadableFiles(t *testing.T) {
	s := httptest.NewTLSServer(nil)
	defer s.Close()
	key, err := x509.MarshalPKCS8PrivateKey(s.TLS.Certificates[0].PrivateKey)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	write := func(name, kind string, der []byte) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	cfg := Config{
		Certificate: write("certificate", "CERTIFICATE", s.Certificate().Raw),
		Key:         write("key", "PRIVATE KEY", key),
		Authority:   write("authority", "CERTIFICATE", s.Certificate().Raw),
		Logger:      zap.NewNop(),
	}
	c, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"key", "authority"} {
		write(name, "PRIVATE KEY", nil)
		if got := c.Client("a1"); len(got.Certificates) != 1 || got.RootCAs == nil || got.ServerName != "a1" {
			t.Errorf("invalid %s: got %d certificates for %q, want 1 for \"a1\" from the last load", name, len(got.Certificates), got.ServerName)
		}
		if _, err := New(cfg); err == nil || fault.Of(err) != fault.Malformed {
			t.Errorf("New with an invalid %s: got error %v, want %v", name, err, fault.Malformed)
		}
	}
}
