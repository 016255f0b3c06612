package burner

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/pkg/venture"
)

const (
	// scrapeTimeout bounds the scrape of one instance.
	scrapeTimeout = 5 * time.Second
	// parallel bounds the instances that are scraped at the same time.
	parallel = 32
	// maxScrape bounds the text of one scrape, in bytes.
	maxScrape = 64 << 20
)

// Config configures a Burner.
type Config struct {
	// Addresses are the metrics addresses by name of the instance.
	Addresses map[string]string
	// Objectives are the objectives of the configuration. If there are none,
	// the report uses 0.42 s to the first token and 49 ms between tokens, each
	// for 95 in 100.
	Objectives []venture.Objective
	// Fetch replaces the HTTP request for the metrics if it isn't nil.
	Fetch func(ctx context.Context, address string) (io.ReadCloser, error)
	Now   func() time.Time
}

// Burner holds the scrapes of a fleet. It is not safe for concurrent use.
type Burner struct {
	cfg     Config
	scrapes []scrape
}

// scrape holds the values of all instances at one time.
type scrape struct {
	Time time.Time `json:"time"`
	// Scope identifies the objectives that the values were chosen for.
	Scope string `json:"scope"`
	// Instances are the values by instance and series.
	Instances map[string]figures `json:"instances"`
	// Missing tells for each instance without values why it has none.
	Missing map[string]string `json:"missing,omitempty"`
}

// New returns a burner without scrapes.
func New(cfg Config) *Burner {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Fetch == nil {
		cfg.Fetch = fetch
	}
	if len(cfg.Objectives) == 0 {
		cfg.Objectives = defaults()
	}
	return &Burner{cfg: cfg}
}

func defaults() []venture.Objective {
	return []venture.Objective{
		{Name: "default-first-token", Measure: venture.FirstToken, Limit: 420, Share: 0.95},
		{Name: "default-between-tokens", Measure: venture.BetweenTokens, Limit: 49, Share: 0.95},
	}
}

// Scrape reads the metrics of all instances once. Instances that don't answer
// are recorded as missing.
func (b *Burner) Scrape(ctx context.Context) {
	s := scrape{Time: b.cfg.Now().UTC(), Scope: b.scope(), Instances: map[string]figures{}, Missing: map[string]string{}}
	var mu sync.Mutex
	var group sync.WaitGroup
	slots := make(chan struct{}, parallel)
	for name, address := range b.cfg.Addresses {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			values, err := b.read(ctx, address)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				s.Missing[name] = err.Error()
				return
			}
			s.Instances[name] = values
		})
	}
	group.Wait()
	b.add(s)
}

// add adds a scrape and drops those that no window needs any more.
func (b *Burner) add(s scrape) {
	b.scrapes = append(b.scrapes, s)
	slices.SortStableFunc(b.scrapes, func(x, y scrape) int { return x.Time.Compare(y.Time) })
	b.scrapes = thin(b.scrapes)
}

// read scrapes one instance and keeps the series that the objectives need.
func (b *Burner) read(ctx context.Context, address string) (figures, error) {
	ctx, cancel := context.WithTimeout(ctx, scrapeTimeout)
	defer cancel()
	body, err := b.cfg.Fetch(ctx, address)
	if err != nil {
		return nil, err
	}
	defer body.Close()
	values, err := parse(io.LimitReader(body, maxScrape))
	if err != nil {
		return nil, err
	}
	return values.only(b.cfg.Objectives), nil
}

func fetch(ctx context.Context, address string) (io.ReadCloser, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/metrics", nil)
	if err != nil {
		return nil, eris.Wrapf(fault.Malformed, "%v", err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		// The report names the instance; the URL says nothing more.
		var failed *url.Error
		if errors.As(err, &failed) {
			err = failed.Err
		}
		return nil, eris.Wrap(err, "no answer")
	}
	if response.StatusCode != http.StatusOK {
		_ = response.Body.Close()
		return nil, eris.Errorf("metrics of %s: status %d", address, response.StatusCode)
	}
	return response.Body, nil
}
