package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/papayapond/papayapond/internal/demo"
	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/logger"
	"github.com/papayapond/papayapond/internal/sampler"
)

// sampleBudget is the prepaid budget of each sample account, in tokens.
const sampleBudget = 1_000_000

type demoCommand struct {
	Data  string `arg:"--data" default:"data/demo" help:"folder for the data of all instances"`
	Level string `arg:"--level" default:"error" help:"log level: debug, info, warn or error"`
	Once  bool   `arg:"--once" help:"stop after the sample request"`
}

func (c *demoCommand) run(ctx context.Context) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	log, err := logger.New(c.Level)
	if err != nil {
		return err
	}
	d, err := demo.New(demo.Config{Data: c.Data, Zones: []int{1, 1, 1}, Budget: sampleBudget, Logger: log.Logger, Level: &log.Level})
	if err != nil {
		return err
	}
	fmt.Println("Starting 3 instances in 3 zones with stand-in targets ...")
	if err := d.Start(ctx); err != nil {
		return err
	}
	if err := sendSampleRequest(ctx, d); err != nil {
		return err
	}
	if !c.Once {
		fmt.Printf("\nThe fleet is running. Data is in %s. Stop with Ctrl-C.\n", c.Data)
		<-ctx.Done()
	}
	end, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	return d.Stop(end)
}

// sendSampleRequest sends one request to the first instance. It prints the
// equivalent curl command, the response and the account statement.
func sendSampleRequest(ctx context.Context, d *demo.Demo) error {
	body := fmt.Sprintf(`{"model":%q,"max_tokens":12,"messages":[{"role":"user","content":"Draft a cut sheet for forty pairs."}]}`, sampler.Model)
	fmt.Printf("\nSend requests like this one:\n\n  curl http://%s/v1/chat/completions \\\n    -H 'Authorization: Bearer %s' \\\n    -d '%s'\n", d.Public(0), sampler.WondimuKey, body)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.Public(0)+"/v1/chat/completions", bytes.NewReader([]byte(body)))
	if err != nil {
		return eris.Wrap(err, "sample request")
	}
	request.Header.Set("Authorization", "Bearer "+sampler.WondimuKey)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return eris.Wrapf(fault.Unavailable, "sample request: %v", err)
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return eris.Wrapf(fault.Interrupted, "sample request: %v", err)
	}
	fmt.Printf("\nThe answer (status %d):\n\n%s\n", response.StatusCode, answer)
	statement, err := d.Client(0).Call(ctx, http.MethodGet, "/v1/accounts/wondimu/statement", nil)
	if err != nil {
		return err
	}
	fmt.Printf("\nThe statement of the account wondimu:\n\n%s", statement)
	fmt.Printf("\nAs an operator:\n\n  papayapond books --address %s --key %s\n", d.Operator(0), sampler.OperatorKey)
	return nil
}

type sampleCommand struct {
	Folder string `arg:"positional,required" help:"folder for the settings, the configuration and the data"`
	Port   int    `arg:"--port" default:"7000" help:"first of the ports on 127.0.0.1; each instance takes 10"`
}

func (c *sampleCommand) run(context.Context) error {
	if err := os.MkdirAll(c.Folder, 0o700); err != nil {
		return eris.Wrapf(fault.Corrupt, "%v", err)
	}
	now := time.Now().UTC().Truncate(24 * time.Hour)
	s := sampler.New(sampler.Config{
		Zones: []int{3, 3, 2}, Data: filepath.Join(c.Folder, "data"), Budget: sampleBudget,
		Address: func(instance, server int) string { return fmt.Sprintf("127.0.0.1:%d", c.Port+10*instance+server) },
		Start:   now.AddDate(0, 0, -1), End: now.AddDate(1, 0, 0),
	})
	files := map[string][]byte{"configuration.toml": s.Configuration()}
	for i, name := range s.Names() {
		files[name+".toml"] = s.Settings(i)
	}
	for name, text := range files {
		if err := os.WriteFile(filepath.Join(c.Folder, name), text, 0o600); err != nil {
			return eris.Wrapf(fault.Corrupt, "%v", err)
		}
	}
	fmt.Printf("Wrote settings of 8 instances and configuration.toml to %s.\n", c.Folder)
	return nil
}
