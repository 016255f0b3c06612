// Command papayapond runs an instance of the fleet and is the operators'
// command line.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/alexflint/go-arg"

	"github.com/papayapond/papayapond/internal/fault"
)

type arguments struct {
	Serve     *serveCommand     `arg:"subcommand:serve" help:"run an instance of the fleet"`
	Demo      *demoCommand      `arg:"subcommand:demo" help:"run a small fleet with stand-in targets in one process"`
	Sample    *sampleCommand    `arg:"subcommand:sample" help:"write settings and a configuration for a sample fleet"`
	Check     *checkCommand     `arg:"subcommand:check" help:"check a settings or configuration file"`
	Apply     *applyCommand     `arg:"subcommand:apply" help:"submit a configuration and wait until it is in force"`
	Topup     *topupCommand     `arg:"subcommand:topup" help:"add prepaid tokens to a client account"`
	Fleet     *fleetCommand     `arg:"subcommand:fleet" help:"show instances, targets and the control members"`
	Statement *statementCommand `arg:"subcommand:statement" help:"show the books of one client account"`
	Books     *booksCommand     `arg:"subcommand:books" help:"show the books of the venture"`
	Burn      *burnCommand      `arg:"subcommand:burn" help:"report how fast the error budgets of the objectives are used up"`
	Level     *levelCommand     `arg:"subcommand:level" help:"show or change the log level of an instance"`
	Errors    *errorsCommand    `arg:"subcommand:errors" help:"print the page of all error codes"`
	Order     *orderCommand     `arg:"subcommand:order" help:"order a target to load or unload a model or to change its role, and wait for the outcome"`
	Orders    *ordersCommand    `arg:"subcommand:orders" help:"list the orders of the last 24 hours with their outcomes"`
	Dissolve  *dissolveCommand  `arg:"subcommand:dissolve" help:"dissolve the venture and close its books"`
}

// Description is printed by --help.
func (arguments) Description() string {
	return "papayapond routes requests of client accounts with prepaid token budgets to model engines and services.\n" +
		"Start with: papayapond demo"
}

// runner is one subcommand.
type runner interface {
	run(ctx context.Context) error
}

func main() {
	var args arguments
	parser := arg.MustParse(&args)
	command, ok := parser.Subcommand().(runner)
	if !ok {
		parser.WriteHelp(os.Stderr)
		os.Exit(fault.Malformed.ExitCode())
	}
	if err := command.run(context.Background()); err != nil && !errors.Is(err, context.Canceled) {
		fmt.Fprintln(os.Stderr, "papayapond:", message(err))
		os.Exit(fault.Of(err).ExitCode())
	}
}

// message returns the text of an error for an operator. That of fault.Malformed
// itself speaks of a caller's request.
func message(err error) string {
	if text := fault.Detail(err); text != "" && errors.Is(err, fault.Malformed) {
		return text
	}
	return err.Error()
}
