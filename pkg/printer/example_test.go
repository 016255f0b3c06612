package printer_test

import (
	"fmt"
	"os"
	"time"

	"github.com/papayapond/papayapond/pkg/account"
	"github.com/papayapond/papayapond/pkg/model"
	"github.com/papayapond/papayapond/pkg/printer"
	"github.com/papayapond/papayapond/pkg/venture"
)

func ExamplePrinter_Print() {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	v := venture.New("wondimu", start, start.AddDate(0, 6, 0)).
		WithModels(model.New("quote-8b", 512, 8192)).
		WithAccounts(account.New("mill", 1_000_000).
			WithModels("quote-8b").
			WithKeys(account.Hash([]byte("0f3a9c71"), "key of the mill")))
	if err := printer.New(os.Stdout).Print(v); err != nil {
		fmt.Println(err)
	}
	// Output:
	// version = 1
	// replaces = 0
	// name = "wondimu"
	// start = 2026-01-01T00:00:00Z
	// end = 2026-07-01T00:00:00Z
	// reserve = 0.25
	//
	// [[models]]
	// name = "quote-8b"
	// output = 512
	// context = 8192
	//
	// [[accounts]]
	// name = "mill"
	// budget = 1000000
	// weight = 1
	// keys = ["3066336139633731:d8c5455be0ea8a890d5c2af68f7a036c719bb5ea87c18ffc3616c285b9e0c356"]
	// models = ["quote-8b"]
	// services = []
	// groups = []
}
