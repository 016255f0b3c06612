package operator

import (
	"net/http"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/papayapond/papayapond/internal/fault"
)

// level shows the log level of this instance or changes it until the next
// restart. Levels above error are refused, since they would hide errors.
func (o *Operator) level(c *call) error {
	if o.cfg.Level == nil {
		return eris.Wrap(fault.Missing, "the log level can't be changed")
	}
	body := struct {
		Level string `json:"level"`
	}{o.cfg.Level.String()}
	if c.request.Method == http.MethodPut {
		if err := decode(c, &body); err != nil {
			return err
		}
		next, err := zapcore.ParseLevel(body.Level)
		if err != nil || body.Level == "" || next > zapcore.ErrorLevel {
			return eris.Wrapf(fault.Malformed, "level: %.20q, expected debug, info, warn or error", body.Level)
		}
		last := o.cfg.Level.Level()
		o.cfg.Level.SetLevel(next)
		o.cfg.Logger.Warn("Log level changed.", zap.String("operator", c.operator), zap.Stringer("from", last), zap.Stringer("to", next))
		body.Level = next.String()
	}
	write(c, http.StatusOK, body)
	return nil
}
