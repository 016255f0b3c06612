package issuer

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/papayapond/papayapond/internal/wire"
)

// maxDetailRunes bounds the part of a target's error message that is stored with
// an outcome.
const maxDetailRunes = 500

// classify maps the response of a target to an outcome, or to "" if the order must
// be retried.
func classify(o *wire.OrderState, status int, answer []byte) (outcome, detail string) {
	var body struct {
		Fence uint64 `json:"fence"`
		Error struct {
			Code    string `json:"code"`
			Message string `json:"message"`
		} `json:"error"`
	}
	err := json.Unmarshal(answer, &body)
	switch {
	case status == http.StatusOK:
		return Obeyed, ""
	case status == http.StatusConflict && err == nil && body.Error.Code == "fenced":
		return Superseded, fmt.Sprintf("target has already seen fencing number %d", body.Fence)
	case status < 400 || status >= 500, status == http.StatusRequestTimeout, status == http.StatusTooEarly, status == http.StatusTooManyRequests:
		return "", ""
	}
	detail = fmt.Sprintf("target responded with status %d: %.*q", status, maxDetailRunes, body.Error.Message)
	if o.Attempts > 0 {
		detail += "; an earlier attempt may have been obeyed"
	}
	return Refused, detail
}
