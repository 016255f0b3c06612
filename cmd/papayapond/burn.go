package main

import (
	"bytes"
	"context"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/papayapond/papayapond/internal/burner"
	"github.com/papayapond/papayapond/internal/configuration"
	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/settings"
	"github.com/papayapond/papayapond/pkg/venture"
)

type burnCommand struct {
	remoteOptions
	Settings      string        `arg:"--settings" help:"settings file whose peers have metrics addresses"`
	Instance      []string      `arg:"--instance,separate" help:"NAME=HOST:PORT of the metrics of an instance; can be repeated"`
	Configuration string        `arg:"--configuration" help:"configuration file with the objectives; with --key they come from the fleet"`
	History       string        `arg:"--history" help:"file that keeps the scrapes from one run to the next"`
	Every         time.Duration `arg:"--every" default:"15s" help:"time between two scrapes"`
	For           time.Duration `arg:"--for" help:"go on scraping for this time; one scrape without it"`
	JSON          bool          `arg:"--json" help:"write JSON"`
	Page          string        `arg:"--page" help:"also write a web page with plots to this file"`
}

func (c *burnCommand) run(ctx context.Context) error {
	addresses, err := c.addresses()
	if err != nil {
		return err
	}
	objectives, err := c.objectives(ctx)
	if err != nil {
		return err
	}
	b := burner.New(burner.Config{Addresses: addresses, Objectives: objectives})
	if c.History != "" {
		if err := b.Load(c.History); err != nil {
			return err
		}
	}
	if err := c.scrape(ctx, b); err != nil {
		return err
	}
	if c.Page != "" {
		var page bytes.Buffer
		if err := b.Page(&page); err != nil {
			return err
		}
		if err := os.WriteFile(c.Page, page.Bytes(), 0o644); err != nil {
			return eris.Wrapf(fault.Corrupt, "write page: %v", err)
		}
	}
	if c.JSON {
		return b.JSON(os.Stdout)
	}
	return b.Text(os.Stdout)
}

// scrape scrapes the instances once, or every c.Every for the duration c.For. It
// updates the history file after each scrape.
func (c *burnCommand) scrape(ctx context.Context, b *burner.Burner) error {
	if c.Every <= 0 {
		return eris.Wrapf(fault.Malformed, "--every: got %v, expected a positive duration", c.Every)
	}
	end := time.Now().Add(c.For)
	for {
		b.Scrape(ctx)
		if c.History != "" {
			if err := b.Store(c.History); err != nil {
				return err
			}
		}
		if !time.Now().Add(c.Every).Before(end.Add(time.Millisecond)) {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(c.Every):
		}
	}
}

// addresses returns the metrics addresses by instance name.
func (c *burnCommand) addresses() (map[string]string, error) {
	addresses := map[string]string{}
	if c.Settings != "" {
		s, err := settings.Read(c.Settings)
		if err != nil {
			return nil, err
		}
		for _, p := range s.Peers {
			if p.Metrics == "" {
				return nil, eris.Wrapf(fault.Malformed, "%s: peer %s has no metrics address", c.Settings, p.Name)
			}
			addresses[p.Name] = p.Metrics
		}
	}
	for _, option := range c.Instance {
		name, address, ok := strings.Cut(option, "=")
		if !ok || name == "" || address == "" {
			return nil, eris.Wrapf(fault.Malformed, "--instance: got %q, expected NAME=HOST:PORT", option)
		}
		addresses[name] = address
	}
	if len(addresses) == 0 {
		return nil, eris.Wrap(fault.Malformed, "no instances given: expected --settings or --instance")
	}
	return addresses, nil
}

// objectives returns the objectives from the configuration file or, with a key,
// from the current configuration of the fleet. Without either it returns nil, and
// the defaults apply.
func (c *burnCommand) objectives(ctx context.Context) ([]venture.Objective, error) {
	switch {
	case c.Configuration != "":
		read, err := readConfiguration(c.Configuration)
		if err != nil {
			return nil, err
		}
		return read.Venture().Objectives, nil
	case c.Key != "":
		text, err := c.call(ctx, http.MethodGet, "/v1/configuration", nil)
		if err != nil {
			return nil, err
		}
		current, err := configuration.Parse(text)
		if err != nil {
			return nil, err
		}
		return current.Venture().Objectives, nil
	}
	return nil, nil
}
