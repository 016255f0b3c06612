package announcer

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/wire"
)

const (
	interval = time.Second
	// timeout is shorter than the interval, so that a silent entry instance
	// doesn't delay the next announcement.
	timeout = 800 * time.Millisecond
	maxBody = 1 << 12
)

// Config configures an Announcer.
type Config struct {
	// Entries are the addresses of entry instances, host:port or a URL.
	Entries []string
	// Key is the bearer key of the target's group.
	Key string
	// Report returns the present state of the target. It is called once per
	// announcement, which goes to all entries.
	Report func() *wire.Target
	// Client replaces the HTTP client if it isn't nil.
	Client *http.Client
	Logger *zap.Logger
}

// Announcer announces one target.
type Announcer struct {
	cfg    Config
	mu     sync.Mutex // serializes announcements
	failed map[string]bool
}

// New returns an announcer that has not announced anything yet.
func New(cfg Config) *Announcer {
	if cfg.Client == nil {
		cfg.Client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
	}
	return &Announcer{cfg: cfg, failed: map[string]bool{}}
}

// Run announces the target at once and then every second until ctx ends.
func (a *Announcer) Run(ctx context.Context) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		a.Announce(ctx)
		select {
		case <-tick.C:
		case <-ctx.Done():
			a.cfg.Client.CloseIdleConnections()
			return
		}
	}
}

// Announce announces the target once and returns when every entry has
// answered or the timeout has passed. A target calls it at each change of its
// state, so that a departure is known at once.
func (a *Announcer) Announce(ctx context.Context) {
	a.mu.Lock()
	defer a.mu.Unlock()
	body, err := json.Marshal(a.cfg.Report())
	if err != nil {
		a.cfg.Logger.Error("Cannot encode the announcement.", zap.Error(err))
		return
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	errs := make([]error, len(a.cfg.Entries))
	var wg sync.WaitGroup
	for i, entry := range a.cfg.Entries {
		wg.Go(func() { errs[i] = a.post(ctx, entry, body) })
	}
	wg.Wait()
	for i, entry := range a.cfg.Entries {
		a.note(entry, errs[i])
	}
}

// note logs the first failure and the recovery of an entry, not each attempt.
func (a *Announcer) note(entry string, err error) {
	if was := a.failed[entry]; was != (err != nil) {
		a.failed[entry] = err != nil
		if err != nil {
			a.cfg.Logger.Warn("Announcement failed.", zap.String("entry", entry), zap.Error(err))
		} else {
			a.cfg.Logger.Info("Announcements are accepted again.", zap.String("entry", entry))
		}
	}
}

func (a *Announcer) post(ctx context.Context, entry string, body []byte) error {
	if !strings.Contains(entry, "://") {
		entry = "http://" + entry
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, entry+"/v1/targets", bytes.NewReader(body))
	if err != nil {
		return eris.Wrapf(fault.Malformed, "entry %s: %v", entry, err)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+a.cfg.Key)
	resp, err := a.cfg.Client.Do(req)
	if err != nil {
		return eris.Wrapf(fault.Unavailable, "announce: %v", err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxBody))
	if err != nil {
		return eris.Wrapf(fault.Unavailable, "announce: %v", err)
	}
	if resp.StatusCode/100 != 2 {
		return eris.Wrapf(fault.Unavailable, "announce: %s: %s", resp.Status, bytes.TrimSpace(text))
	}
	return nil
}
