package fault

import (
	"fmt"
	"strings"
)

//go:generate sh -c "go run ../../cmd/papayapond errors > ../../docs/errors.md"

// Page returns docs/errors.md, made from the table.
func Page() []byte {
	var b strings.Builder
	b.WriteString(`# Errors

This page is made from the table in internal/fault with
` + "`papayapond errors`" + `; don't edit it.

Every refusal to a caller is a JSON body

    {"error":{"code":"...","message":"...","run":"no|yes|maybe","request":"..."}}

and, in a stream that has started, the last event (` + "`event: error`" + `). The code is
stable, the message is for people. ` + "`run`" + ` tells whether the request ran: after
` + "`no`" + ` it is safe to send it again, ` + "`yes`" + ` means that it ran, and ` + "`maybe`" + ` that this is
not known; ` + "`request`" + ` is its identity. Operators get the code and the message
alone. Where a retry helps, Retry-After gives the pause in seconds. The exit
status is that of the operators' commands, the level that of the log line.

| code | meaning | HTTP | run | Retry-After | exit | level |
|---|---|---|---|---|---|---|
`)
	for _, k := range Kinds() {
		retry := ""
		if k.RetryAfter() > 0 {
			retry = fmt.Sprintf("%g", k.RetryAfter().Seconds())
		}
		fmt.Fprintf(&b, "| `%s` | %s | %d | %s | %s | %d | %s |\n", k.Code(), k.Error(), k.HTTPStatus(), k.Ran(), retry, k.ExitCode(), k.Level())
	}
	return []byte(b.String())
}
