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

// refuse answers an error: as a JSON body, or as the last event of a stream
// that has started.
func (g *Gateway) refuse(s *session, err error) {
	kind := fault.Of(err)
	s.outcome.Code = kind.Code()
	if entry := g.cfg.Logger.Check(kind.Level(), "Request refused."); entry != nil {
		entry.Write(zap.String("request", s.identity), zap.String("account", s.account.Name), zap.String("code", kind.Code()), zap.String("cause", err.Error()))
	}
	body := errorBody(kind, err, s.identity)
	if s.started {
		_, _ = s.Write(append(append([]byte("event: error\ndata: "), body...), '\n', '\n'))
		return
	}
	header := s.Header()
	header.Set("Content-Type", "application/json")
	retry := kind.RetryAfter()
	var advised interface{ RetryAfter() time.Duration }
	if errors.As(err, &advised) {
		retry = advised.RetryAfter()
	}
	if retry > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(retry.Seconds()))))
	}
	s.WriteHeader(kind.HTTPStatus())
	_, _ = s.Write(append(body, '\n'))
}

// errorBody is the body of a refusal. Internal errors are not shown to
// callers.
func errorBody(kind fault.Kind, err error, identity string) []byte {
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
	}{detail{kind.Code(), message, kind.Ran(), identity}})
	return body
}

// replay answers with the kept answer of a settled request.
func (g *Gateway) replay(s *session, b *wire.Bill) {
	header := s.Header()
	header.Set("Content-Type", b.Media)
	header.Set("Idempotent-Replayed", "true")
	status := int(b.Status)
	if status == 0 {
		status = http.StatusOK
	}
	s.WriteHeader(status)
	_, _ = s.Write(b.Answer)
	s.outcome.Code = "replayed"
}

func newIdentity() string {
	var b [16]byte
	randomBytes(b[:])
	return hex.EncodeToString(b[:])
}

// randomBytes fills b. The source of crypto/rand never fails.
func randomBytes(b []byte) { _, _ = rand.Read(b) }
