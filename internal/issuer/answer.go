package issuer

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/papayapond/papayapond/internal/wire"
)

// maxDetail bounds the text of a target that is kept with an outcome.
const maxDetail = 500

// classify returns the outcome that an answer of a target stands for, or "" if
// the order must be repeated.
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
		return Superseded, fmt.Sprintf("the target has seen fencing number %d", body.Fence)
	case status < 400 || status >= 500, status == http.StatusRequestTimeout, status == http.StatusTooEarly, status == http.StatusTooManyRequests:
		return "", ""
	}
	detail = fmt.Sprintf("the target answered %d: %.*q", status, maxDetail, body.Error.Message)
	if o.Attempts > 0 {
		detail += "; an earlier sending may have been obeyed"
	}
	return Refused, detail
}
