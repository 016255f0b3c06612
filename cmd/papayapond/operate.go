package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/papayapond/papayapond/internal/client"
	"github.com/papayapond/papayapond/internal/configuration"
	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/settings"
)

// pollInterval is the time between two polls of the fleet while a command waits
// for its effect, and between two retries.
const pollInterval = 200 * time.Millisecond

// remoteOptions holds the options shared by all commands that call an instance.
type remoteOptions struct {
	Address string        `arg:"--address,env:PAPAYAPOND_ADDRESS" default:"127.0.0.1:7001" help:"operators' address of any instance"`
	Key     string        `arg:"env:PAPAYAPOND_KEY,--key" help:"key of an operator" default:""`
	Timeout time.Duration `arg:"--timeout" default:"15s" help:"longest time to wait"`
}

func (r *remoteOptions) call(ctx context.Context, method, path string, body any) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, r.Timeout)
	defer cancel()
	return client.New(client.Config{Address: r.Address, Key: r.Key}).Call(ctx, method, path, body)
}

// callAndPrint sends a request and prints the response.
func (r *remoteOptions) callAndPrint(ctx context.Context, method, path string, body any) error {
	answer, err := r.call(ctx, method, path, body)
	if err != nil {
		return err
	}
	_, err = os.Stdout.Write(answer)
	return eris.Wrap(err, "print")
}

type checkCommand struct {
	File     string `arg:"positional,required" help:"file to check"`
	Settings bool   `arg:"--settings" help:"the file holds the settings of an instance, not a configuration"`
}

func (c *checkCommand) run(context.Context) error {
	if c.Settings {
		_, err := settings.Read(c.File)
		if err == nil {
			fmt.Println("The settings are valid.")
		}
		return err
	}
	_, err := readConfiguration(c.File)
	if err == nil {
		fmt.Println("The configuration is valid.")
	}
	return err
}

type applyCommand struct {
	remoteOptions
	File string `arg:"positional,required" help:"configuration file (TOML)"`
	Plan bool   `arg:"--plan" help:"only show what would change"`
}

func (c *applyCommand) run(ctx context.Context) error {
	next, err := readConfiguration(c.File)
	if err != nil {
		return err
	}
	deadline := time.Now().Add(c.Timeout)
	if err := retry(deadline, func() error { return c.plan(ctx, next) }); err != nil || c.Plan {
		return err
	}
	// Submitting the same content is idempotent, so it is safe to retry after a
	// lost response.
	err = retry(deadline, func() error {
		_, err := c.call(ctx, http.MethodPut, "/v1/configuration", next.Text())
		return err
	})
	if err != nil {
		return err
	}
	fmt.Printf("Version %d is accepted.\n", next.Version())
	return c.awaitVersion(ctx, next.Version())
}

// retry repeats call until the deadline while the fleet is unreachable or has no
// quorum.
func retry(deadline time.Time, call func() error) error {
	for {
		err := call()
		if err == nil || time.Now().After(deadline) {
			return err
		}
		if k := fault.Of(err); k != fault.Unavailable && k != fault.Isolated {
			return err
		}
		time.Sleep(pollInterval)
	}
}

// plan prints the differences between the current configuration and next.
func (c *applyCommand) plan(ctx context.Context, next *configuration.Configuration) error {
	text, err := c.call(ctx, http.MethodGet, "/v1/configuration", nil)
	if err != nil {
		if fault.Of(err) == fault.Missing {
			fmt.Println("This is the first configuration.")
			return nil
		}
		return err
	}
	current, err := configuration.Parse(text)
	if err != nil {
		return err
	}
	lines := current.Diff(next)
	if len(lines) == 0 {
		fmt.Println("No changes.")
	}
	for _, l := range lines {
		fmt.Println(" ", l)
	}
	return nil
}

// awaitVersion waits until all listed instances run at least the given version
// and prints the names of those that don't yet.
func (c *applyCommand) awaitVersion(ctx context.Context, version uint64) error {
	deadline := time.Now().Add(c.Timeout)
	shown := ""
	for {
		missing, err := c.outdatedInstances(ctx, version)
		if err != nil {
			return err
		}
		if len(missing) == 0 {
			fmt.Println("It is in force on all instances.")
			return nil
		}
		if now := strings.Join(missing, ", "); now != shown {
			fmt.Println("Not yet in force on:", now)
			shown = now
		}
		if time.Now().After(deadline) {
			return eris.Wrapf(fault.Unavailable, "version %d was accepted, but after %v it is not yet in force on: %s", version, c.Timeout, shown)
		}
		time.Sleep(pollInterval)
	}
}

// outdatedInstances returns the name and state of each instance that runs an older
// version.
func (c *applyCommand) outdatedInstances(ctx context.Context, version uint64) ([]string, error) {
	text, err := c.call(ctx, http.MethodGet, "/v1/fleet", nil)
	if err != nil {
		return nil, err
	}
	var fleet struct {
		Instances []struct {
			Name    string `json:"name"`
			State   string `json:"state"`
			Version uint64 `json:"version"`
		} `json:"instances"`
	}
	if err := json.Unmarshal(text, &fleet); err != nil {
		return nil, eris.Wrap(err, "fleet")
	}
	var missing []string
	for _, i := range fleet.Instances {
		if i.Version < version {
			missing = append(missing, i.Name+" ("+i.State+")")
		}
	}
	return missing, nil
}

type topupCommand struct {
	remoteOptions
	Name    string `arg:"positional,required" help:"identity of the top-up; the same one again adds nothing"`
	Account string `arg:"positional,required" help:"client account"`
	Tokens  int64  `arg:"positional,required" help:"tokens to add"`
}

func (c *topupCommand) run(ctx context.Context) error {
	return c.callAndPrint(ctx, http.MethodPost, "/v1/topups", struct {
		Name    string `json:"name"`
		Account string `json:"account"`
		Tokens  int64  `json:"tokens"`
	}{c.Name, c.Account, c.Tokens})
}

type fleetCommand struct{ remoteOptions }

func (c *fleetCommand) run(ctx context.Context) error {
	return c.callAndPrint(ctx, http.MethodGet, "/v1/fleet", nil)
}

type statementCommand struct {
	remoteOptions
	Account string `arg:"positional,required" help:"client account"`
}

func (c *statementCommand) run(ctx context.Context) error {
	return c.callAndPrint(ctx, http.MethodGet, "/v1/accounts/"+url.PathEscape(c.Account)+"/statement", nil)
}

type booksCommand struct{ remoteOptions }

func (c *booksCommand) run(ctx context.Context) error {
	return c.callAndPrint(ctx, http.MethodGet, "/v1/books", nil)
}

type levelCommand struct {
	remoteOptions
	Level string `arg:"positional" help:"debug, info, warn or error; shows the present level without it"`
}

func (c *levelCommand) run(ctx context.Context) error {
	if c.Level == "" {
		return c.callAndPrint(ctx, http.MethodGet, "/v1/level", nil)
	}
	return c.callAndPrint(ctx, http.MethodPut, "/v1/level", struct {
		Level string `json:"level"`
	}{c.Level})
}

type errorsCommand struct{}

func (c *errorsCommand) run(context.Context) error {
	_, err := os.Stdout.Write(fault.Page())
	return eris.Wrap(err, "print")
}

type dissolveCommand struct {
	remoteOptions
	Confirm bool `arg:"--confirm" help:"required: a dissolution can't be undone"`
}

func (c *dissolveCommand) run(ctx context.Context) error {
	if !c.Confirm {
		return eris.Wrap(fault.Malformed, "a dissolution can't be undone: add --confirm")
	}
	return c.callAndPrint(ctx, http.MethodPost, "/v1/dissolution", nil)
}

func readConfiguration(path string) (*configuration.Configuration, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrapf(fault.Malformed, "%v", err)
	}
	c, err := configuration.Parse(text)
	if err != nil && !errors.Is(err, fault.Malformed) {
		return nil, eris.Wrapf(fault.Malformed, "%s: %v", path, err)
	}
	return c, err
}
