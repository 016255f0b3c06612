package operator

import (
	"net/http"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/papayapond/papayapond/internal/fault"
)

// level returns the log level of this instance or changes it until the next
// restart. Levels above error are rejected, since they would hide errors.
func (o *Operator) level(c *call) error {
	if o.cfg.Level == nil {
		return eris.Wrap(fault.Missing, "log level of this instance can't be changed")
	}
	body := struct {
		Level string `json:"level"`
	}{o.cfg.Level.String()}
	if c.request.Method == http.MethodPut {
		if err := decodeBody(c, &body); err != nil {
			return err
		}
		next, err := zapcore.ParseLevel(body.Level)
		if err != nil || body.Level == "" || next > zapcore.ErrorLevel {
			return eris.Wrapf(fault.Malformed, "level: got %.20q, want debug, info, warn or error", body.Level)
		}
		previous := o.cfg.Level.Level()
		o.cfg.Level.SetLevel(next)
		o.cfg.Logger.Warn("log level changed", zap.String("operator", c.operator), zap.Stringer("from", previous), zap.Stringer("to", next))
		body.Level = next.String()
	}
	writeJSON(c, http.StatusOK, body)
	return nil
}
