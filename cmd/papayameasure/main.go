// Command papayameasure measures the parts of a fleet on this machine, prints
// the load of each role at a planned size, and compares ways to divide
// budgets; see docs/CAPACITY.md and docs/budgets.md.
package main

import (
	"fmt"
	"os"

	"github.com/alexflint/go-arg"

	"github.com/papayapond/papayapond/internal/fault"
)

type arguments struct {
	Plan    *planArguments    `arg:"subcommand:plan" help:"print the load of each role at the planned size"`
	Fleet   *fleetArguments   `arg:"subcommand:fleet" help:"measure the traffic between a holder and the instances of its zone"`
	Control *controlArguments `arg:"subcommand:control" help:"measure the control cost of the processes of a running fleet"`
	Budgets *budgetsArguments `arg:"subcommand:budgets" help:"compare ways to divide budgets"`
}

func main() { os.Exit(execute()) }

func execute() int {
	var args arguments
	parser := arg.MustParse(&args)
	var err error
	switch {
	case args.Plan != nil:
		err = args.Plan.run()
	case args.Fleet != nil:
		err = args.Fleet.run()
	case args.Control != nil:
		err = args.Control.run()
	case args.Budgets != nil:
		err = args.Budgets.run()
	default:
		parser.Fail("name a mode: plan, fleet, control or budgets")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "papayameasure:", err)
		return fault.Of(err).ExitCode()
	}
	return 0
}
