package main

import (
	"os/exec"
	"slices"
	"strings"
	"testing"
)

// Guards against production code that depends on a simulated target and so on its
// assumptions. Only the demo command may import the simulated targets.
func TestNoStandInDependencies(t *testing.T) {
	const module = "github.com/papayapond/papayapond/"
	list := func(args ...string) []string {
		out, err := exec.CommandContext(t.Context(), "go", append([]string{"list"}, args...)...).Output()
		if err != nil {
			t.Fatal(err)
		}
		return strings.Fields(string(out))
	}
	imports := slices.DeleteFunc(list("-f", "{{join .Imports \" \"}}", "."), func(p string) bool {
		return !strings.HasPrefix(p, module) || p == module+"internal/demo" || p == module+"internal/sampler"
	})
	deps := list(append([]string{"-deps"}, imports...)...)
	for _, name := range []string{"engine", "orderer", "completion", "announcer", "host", "injector", "demo", "sampler", "loader", "racer"} {
		if slices.Contains(deps, module+"internal/"+name) {
			t.Errorf("got internal/%s as a dependency without the demo command, want none", name)
		}
	}
	if !slices.Contains(deps, module+"internal/hasher") {
		t.Error("got no internal/hasher among the dependencies, want it in the list")
	}
}
