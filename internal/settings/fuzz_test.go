package settings

import (
	"testing"

	"github.com/papayapond/papayapond/internal/fault"
)

// Invalid settings must be rejected as malformed and must not panic.
func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte("name = \"a1\"\n[[peers]]\nname = 3\n"))
	f.Add([]byte("[tls]\nkey = \"\"\n= \n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		if _, err := Parse("a1.toml", text); err != nil && fault.Of(err) != fault.Malformed {
			t.Errorf("got %v, want %v", err, fault.Malformed)
		}
	})
}
