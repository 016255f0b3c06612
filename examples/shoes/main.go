// Command shoes declares the joint venture of the tutorial and prints its
// configuration. The argument is the version to print, 1 or 2.
package main

import (
	"crypto/rand"
	"fmt"
	"os"
	"time"

	"github.com/papayapond/papayapond/pkg/account"
	"github.com/papayapond/papayapond/pkg/group"
	"github.com/papayapond/papayapond/pkg/model"
	"github.com/papayapond/papayapond/pkg/printer"
	"github.com/papayapond/papayapond/pkg/venture"
)

// declare returns the first version: one model, one group of engines, and two
// accounts that prepaid 20,000 and 5,000 tokens. Keys are hashed with a salt.
func declare(salt []byte) venture.Venture {
	hash := func(key string) string { return account.Hash(salt, key) }
	start := time.Date(time.Now().Year(), 1, 1, 0, 0, 0, 0, time.UTC)
	return venture.New("shoes", start, start.AddDate(2, 0, 0)).
		WithOperator("sara", hash("sample-operator")).
		WithModels(model.New("quote-8b", 128, 8192)).
		WithGroups(group.New("gpu-", group.Engine).WithKey(hash("gpu-key"))).
		WithAccounts(
			account.New("mill", 20_000).WithKeys(hash("mill-key")).WithModels("quote-8b").WithGroups("gpu-"),
			account.New("tannery", 5_000).WithKeys(hash("tannery-key")).WithModels("quote-8b").WithGroups("gpu-")).
		WithObjectives(
			venture.Objective{Name: "first-token", Measure: venture.FirstToken, Limit: 420, Share: 0.95},
			venture.Objective{Name: "mill-overspend", Account: "mill", Measure: venture.Overspend, Share: 1})
}

// extend returns the second version: the group also serves a small model, and
// the mill may use it. Top-ups that were accepted meanwhile stay, whether the
// new version names them or not.
func extend(v venture.Venture) venture.Venture {
	v = v.WithVersion(2, 1).WithModels(model.New("tag-1b", 32, 4096))
	for i, a := range v.Accounts {
		if a.Name == "mill" {
			v.Accounts[i] = a.WithModels("tag-1b")
		}
	}
	return v
}

func main() {
	// The salt must stay the same from one version to the next, or the keys
	// would change. Here it is kept in a file.
	salt, err := os.ReadFile("shoes.salt")
	if os.IsNotExist(err) {
		salt = []byte(rand.Text())
		err = os.WriteFile("shoes.salt", salt, 0o600)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "shoes:", err)
		os.Exit(1)
	}
	v := declare(salt)
	if len(os.Args) > 1 && os.Args[1] == "2" {
		v = extend(v)
	}
	if err := printer.New(os.Stdout).Print(v); err != nil {
		fmt.Fprintln(os.Stderr, "shoes:", err)
		os.Exit(1)
	}
}
