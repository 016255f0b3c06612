package main

import (
	"os"

	"github.com/rotisserie/eris"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/planner"
)

type planArguments struct {
	File string `arg:"positional" default:"docs/capacity.toml" help:"sizes and measured slopes (TOML)"`
}

func (args *planArguments) run() error {
	text, err := os.ReadFile(args.File)
	if err != nil {
		return eris.Wrapf(fault.Malformed, "%v", err)
	}
	p, err := planner.Parse(text)
	if err != nil {
		return err
	}
	return p.Print(os.Stdout)
}
