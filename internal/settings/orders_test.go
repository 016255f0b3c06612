package settings

import (
	"strings"
	"testing"
	"time"
)

// A misread interval would overload the model weight store.
func TestLoadInterval(t *testing.T) {
	const base = `name = "x"
zone = "a"
data = "d"
public = "127.0.0.1:1"
operator = "127.0.0.1:2"
peer = "127.0.0.1:3"
peers = [{ name = "x", zone = "a", address = "127.0.0.1:3", disk = true }]
disk = true
`
	for _, c := range []struct {
		text string
		want time.Duration // 0 if invalid
	}{
		{"", DefaultLoadInterval},
		{`loads = "5s"`, 5 * time.Second},
		{`loads = "0s"`, 0},
		{`loads = "-1s"`, 0},
		{`loads = "12"`, 0},
	} {
		s, err := Parse("x.toml", []byte(base+c.text))
		if c.want == 0 {
			if err == nil || !strings.Contains(err.Error(), "loads") {
				t.Errorf("%s: got error %v, want one that names the key loads", c.text, err)
			}
			continue
		}
		if err != nil || s.MinLoadInterval() != c.want {
			t.Errorf("%s: got %v %v, want %v", c.text, s.MinLoadInterval(), err, c.want)
		}
	}
}
