package fault

import (
	"fmt"
	"strings"
)

//go:generate sh -c "go run ../../cmd/papayapond errors > ../../docs/errors.md"

// Page returns the content of docs/errors.md, generated from the table.
func Page() []byte {
	var b strings.Builder
	b.WriteString(`# Errors

This page is generated from the table in internal/fault by
` + "`papayapond errors`" + `; don't edit it.

Every error response to a caller has a JSON body

    {"error":{"code":"...","message":"...","run":"no|yes|maybe","request":"..."}}

In a stream that has started, the error is the last event (` + "`event: error`" + `). The
code is stable, the message is for people. ` + "`run`" + ` says whether the request ran:
after ` + "`no`" + ` it is safe to send it again, ` + "`yes`" + ` means that it ran, and ` + "`maybe`" + ` that
this is unknown; ` + "`request`" + ` is the identity of the request. Operators get only the
code and the message. Where a retry helps, Retry-After gives the delay in
seconds. The exit code is that of the operators' commands, the level that of the
log line.

| code | meaning | HTTP | run | Retry-After | exit | level |
|---|---|---|---|---|---|---|
`)
	for _, k := range Kinds() {
		retry := ""
		if k.RetryDelay() > 0 {
			retry = fmt.Sprintf("%g", k.RetryDelay().Seconds())
		}
		fmt.Fprintf(&b, "| `%s` | %s | %d | %s | %s | %d | %s |\n", k.Code(), k.Error(), k.HTTPStatus(), k.Ran(), retry, k.ExitCode(), k.Level())
	}
	return []byte(b.String())
}
