package gateway

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/wire"
)

// writeError writes an error response: a JSON body, or the last event of a stream
// that has started.
func (g *Gateway) writeError(s *requestState, err error) {
	kind := fault.Of(err)
	s.metrics.Code = kind.Code()
	if entry := g.cfg.Logger.Check(kind.Level(), "request refused"); entry != nil {
		entry.Write(zap.String("request", s.requestID), zap.String("account", s.account.Name), zap.String("code", kind.Code()), zap.String("cause", err.Error()))
	}
	body := errorBody(kind, err, s.requestID)
	if s.started {
		_, _ = s.Write(append(append([]byte("event: error\ndata: "), body...), '\n', '\n'))
		return
	}
	header := s.Header()
	header.Set("Content-Type", "application/json")
	retry := kind.RetryDelay()
	var retryable interface{ RetryAfter() time.Duration }
	if errors.As(err, &retryable) {
		retry = retryable.RetryAfter()
	}
	if retry > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(retry.Seconds()))))
	}
	s.WriteHeader(kind.HTTPStatus())
	_, _ = s.Write(append(body, '\n'))
}

// errorBody returns the body of an error response. It hides the details of
// internal errors from callers.
func errorBody(kind fault.Kind, err error, requestID string) []byte {
	message := err.Error()
	if kind == fault.Internal || kind == fault.Broken {
		message = kind.Error()
	}
	type detail struct {
		Code    string `json:"code"`
		Message string `json:"message"`
		Run     string `json:"run"`
		Request string `json:"request"`
	}
	body, _ := json.Marshal(struct {
		Error detail `json:"error"`
	}{detail{kind.Code(), message, kind.Ran(), requestID}})
	return body
}

// replay writes the stored response of a settled request.
func (g *Gateway) replay(s *requestState, b *wire.Bill) {
	header := s.Header()
	header.Set("Content-Type", b.Media)
	header.Set("Idempotent-Replayed", "true")
	status := int(b.Status)
	if status == 0 {
		status = http.StatusOK
	}
	s.WriteHeader(status)
	_, _ = s.Write(b.Answer)
	s.metrics.Code = "replayed"
}

func newRequestID() string {
	var b [16]byte
	randomBytes(b[:])
	return hex.EncodeToString(b[:])
}

// randomBytes fills b with random bytes. crypto/rand never fails.
func randomBytes(b []byte) { _, _ = rand.Read(b) }
