package burner

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"

	"github.com/papayapond/papayapond/internal/fault"
)

const (
	// recent is the age up to which all scrapes are kept. Older ones are
	// thinned to one per sparse, up to the age oldest; the windows of the slow
	// pair don't need more.
	recent = 70 * time.Minute
	sparse = 5 * time.Minute
	oldest = 7 * time.Hour
	// maxLine bounds one scrape in a file, in bytes.
	maxLine = 64 << 20
)

// Load reads the scrapes of earlier runs from a file. A file that doesn't
// exist is empty; scrapes for other objectives are left out, since they may
// lack series. The error wraps fault.Corrupt.
func (b *Burner) Load(path string) error {
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return eris.Wrapf(fault.Corrupt, "scrapes: %v", err)
	}
	lines := bufio.NewScanner(bytes.NewReader(text))
	lines.Buffer(nil, maxLine)
	for n := 1; lines.Scan(); n++ {
		var s scrape
		if err := json.Unmarshal(lines.Bytes(), &s); err != nil {
			return eris.Wrapf(fault.Corrupt, "%s:%d: %v", path, n, err)
		}
		if s.Scope == b.scope() {
			b.add(s)
		}
	}
	return eris.Wrap(lines.Err(), path)
}

// Store writes the scrapes to a file, one JSON object a line, and replaces it
// atomically.
func (b *Burner) Store(path string) error {
	var text bytes.Buffer
	encoder := json.NewEncoder(&text)
	for _, s := range b.scrapes {
		if err := encoder.Encode(s); err != nil {
			return eris.Wrap(err, "encode scrape")
		}
	}
	f, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path))
	if err != nil {
		return eris.Wrapf(fault.Corrupt, "scrapes: %v", err)
	}
	defer func() { _ = os.Remove(f.Name()) }()
	_, err = f.Write(text.Bytes())
	if err = errors.Join(err, f.Close()); err == nil {
		err = os.Rename(f.Name(), path)
	}
	if err != nil {
		return eris.Wrapf(fault.Corrupt, "scrapes: %v", err)
	}
	return nil
}

// scope identifies the objectives.
func (b *Burner) scope() string {
	text, _ := json.Marshal(b.cfg.Objectives)
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:8])
}

// thin drops scrapes that no window needs.
func thin(scrapes []scrape) []scrape {
	last := scrapes[len(scrapes)-1].Time
	kept := scrapes[:0:0]
	for _, s := range scrapes {
		age := last.Sub(s.Time)
		if age > oldest {
			continue
		}
		if age > recent && len(kept) > 0 && s.Time.Sub(kept[len(kept)-1].Time) < sparse {
			continue
		}
		kept = append(kept, s)
	}
	return kept
}

// increase returns by how much the values of all instances grew in the window
// that ends with the last of the scrapes, and the time between the first and
// the last scrape that it used. A value that falls was reset by a restart, so
// that all of it is new.
func increase(scrapes []scrape, window time.Duration) (figures, time.Duration) {
	end := scrapes[len(scrapes)-1].Time
	first := 0
	for i, s := range scrapes {
		if !s.Time.After(end.Add(-window)) {
			first = i
		}
	}
	grown := figures{}
	before := map[string]figures{}
	for i, s := range scrapes[first:] {
		for name, values := range s.Instances {
			if earlier, ok := before[name]; ok && i > 0 {
				for key, value := range values {
					if value >= earlier[key] {
						value -= earlier[key]
					}
					grown[key] += value
				}
			}
			before[name] = values
		}
	}
	return grown, end.Sub(scrapes[first].Time)
}
