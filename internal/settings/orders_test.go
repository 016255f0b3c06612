package settings

import (
	"strings"
	"testing"
	"time"
)

// An interval that is read wrongly overloads the weight store.
func TestLoadInterval(t *testing.T) {
	const rest = `name = "x"
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
		want time.Duration // 0 if it is refused
	}{
		{"", DefaultLoadInterval},
		{`loads = "5s"`, 5 * time.Second},
		{`loads = "0s"`, 0},
		{`loads = "-1s"`, 0},
		{`loads = "12"`, 0},
	} {
		s, err := Parse("x.toml", []byte(rest+c.text))
		if c.want == 0 {
			if err == nil || !strings.Contains(err.Error(), "loads") {
				t.Errorf("%s: got %v, want an error that names the key", c.text, err)
			}
			continue
		}
		if err != nil || s.MinLoadInterval() != c.want {
			t.Errorf("%s: got %v %v, want %v", c.text, s.MinLoadInterval(), err, c.want)
		}
	}
}
