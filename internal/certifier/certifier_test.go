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

// Files that are replaced one after the other must not cut the instance off,
// but at the start wrong files must be refused.
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
			t.Errorf("without a %s: got %d certificates for %q, want the last one", name, len(got.Certificates), got.ServerName)
		}
		if _, err := New(cfg); err == nil || fault.Of(err) != fault.Malformed {
			t.Errorf("start without a %s: got %v, want %v", name, err, fault.Malformed)
		}
	}
}
