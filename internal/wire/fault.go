package wire

import (
	"strings"

	"github.com/rotisserie/eris"

	"github.com/papayapond/papayapond/internal/fault"
)

// NewFault returns the fault of a reply for an error, or nil. Its text leaves
// out the text of the kind at the end, which Err adds again; otherwise each
// hop would repeat it.
func NewFault(err error) *Fault {
	if err == nil {
		return nil
	}
	// Errors may quote a document, which need not be UTF-8.
	return &Fault{Code: fault.Of(err).Code(), Text: strings.ToValidUTF8(fault.Detail(err), "?")}
}

// Err returns the error of a fault, which wraps its kind, or nil.
func (f *Fault) Err() error {
	switch {
	case f == nil:
		return nil
	case f.Text == "":
		return fault.Parse(f.Code)
	}
	return eris.Wrap(fault.Parse(f.Code), f.Text)
}
