// Command standin plays the cases of the review: it starts the programs of the
// deploy file as separate processes on loopback addresses, with stand-ins for
// callers, targets, the operator and the platform.
//
//	standin CASE PROGRAM RECORD
//
// PROGRAM is the path of papayanode, RECORD the file for what was sent, answered and
// run. The exit status is 1 if the rule was broken, 0 if it held and 2 if the case
// couldn't run. With TROUBLE=0 in the environment the disruption is left out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
	// maxDuration ends a case that doesn't end by itself.
	maxDuration = 110 * time.Second
)

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(e *environment) (broken bool, err error){
	"versions": playVersions,
	"hot":      playHot,
	"retire":   playRetire,
	"eject":    playEject,
}

// environment is what a case runs in.
type environment struct {
	program string
	dir     string // for settings, data and logs
	record  *record
	trouble bool
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE PROGRAM RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

func run(name, program, path string) int {
	r, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println("logs:", dir)
	}
	e := &environment{program: program, dir: dir, record: r, trouble: os.Getenv("TROUBLE") != "0"}
	r.printf("case %s, trouble %v", name, e.trouble)

	type outcome struct {
		broken bool
		err    error
	}
	done := make(chan outcome, 1)
	go runStarter()
	go func() {
		broken, err := cases[name](e)
		done <- outcome{broken, err}
	}()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	var o outcome
	select {
	case o = <-done:
	case <-time.After(maxDuration):
		o.err = fmt.Errorf("not finished after %v", maxDuration)
	case s := <-interrupted:
		o.err = fmt.Errorf("received %v", s)
	}
	killAll()
	switch {
	case o.err != nil:
		r.printf("NOT RUN: %v", o.err)
		return exitNotRun
	case o.broken:
		r.printf("BROKEN")
		return exitBroken
	}
	r.printf("HELD")
	return exitHeld
}
