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
	// timeout is shorter than interval, so that an unresponsive entry instance
	// doesn't delay the next announcement.
	timeout = 800 * time.Millisecond
	// maxResponse is the number of bytes of a response that are read.
	maxResponse = 1 << 12
)

// Config configures an Announcer.
type Config struct {
	// Entries lists the entry instances, each as host:port or URL.
	Entries []string
	// Key is the bearer key of the target's group.
	Key string
	// Report returns the current state of the target. It is called once per
	// announcement; all entries get the same state.
	Report func() *wire.Target
	// Client is the HTTP client; if nil, a default one is used.
	Client *http.Client
	Logger *zap.Logger
}

// Announcer announces one target.
type Announcer struct {
	cfg    Config
	mu     sync.Mutex // serializes announcements
	failed map[string]bool
}

// New returns an announcer. It sends nothing until Run or Announce is called.
func New(cfg Config) *Announcer {
	if cfg.Client == nil {
		cfg.Client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
	}
	return &Announcer{cfg: cfg, failed: map[string]bool{}}
}

// Run announces the target immediately and then every second until ctx is done.
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

// Announce announces the target once and returns when every entry has responded
// or timed out. A target also calls it whenever its state changes, so that the
// entries learn immediately that it is leaving.
func (a *Announcer) Announce(ctx context.Context) {
	a.mu.Lock()
	defer a.mu.Unlock()
	body, err := json.Marshal(a.cfg.Report())
	if err != nil {
		a.cfg.Logger.Error("encoding announcement failed", zap.Error(err))
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
		a.logChange(entry, errs[i])
	}
}

// logChange logs when announcements to an entry start to fail and when they
// recover, but not every attempt.
func (a *Announcer) logChange(entry string, err error) {
	if was := a.failed[entry]; was != (err != nil) {
		a.failed[entry] = err != nil
		if err != nil {
			a.cfg.Logger.Warn("announcement failed", zap.String("entry", entry), zap.Error(err))
		} else {
			a.cfg.Logger.Info("announcements accepted again", zap.String("entry", entry))
		}
	}
}

func (a *Announcer) post(ctx context.Context, entry string, body []byte) error {
	if !strings.Contains(entry, "://") {
		entry = "http://" + entry
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, entry+"/v1/targets", bytes.NewReader(body))
	if err != nil {
		return eris.Wrapf(fault.Malformed, "create request for entry %s: %v", entry, err)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+a.cfg.Key)
	resp, err := a.cfg.Client.Do(req)
	if err != nil {
		return eris.Wrapf(fault.Unavailable, "send announcement: %v", err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxResponse))
	if err != nil {
		return eris.Wrapf(fault.Unavailable, "read response to announcement: %v", err)
	}
	if resp.StatusCode/100 != 2 {
		return eris.Wrapf(fault.Unavailable, "announcement rejected with status %s: %s", resp.Status, bytes.TrimSpace(text))
	}
	return nil
}
