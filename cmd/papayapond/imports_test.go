package main

import (
	"os/exec"
	"slices"
	"strings"
	"testing"
)

// An instance that needs the code of a stand-in would have the assumptions of
// a test target in the product. Only the command demo runs stand-ins.
func TestStandInsAreNotNeeded(t *testing.T) {
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
	needed := list(append([]string{"-deps"}, imports...)...)
	for _, name := range []string{"engine", "orderer", "completion", "announcer", "host", "injector", "demo", "sampler", "loader", "racer"} {
		if slices.Contains(needed, module+"internal/"+name) {
			t.Errorf("internal/%s is needed without the command demo", name)
		}
	}
	if !slices.Contains(needed, module+"internal/hasher") {
		t.Error("the list of needed packages is not whole")
	}
}
