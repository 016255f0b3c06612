package logger

import (
	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/spooler"
)

// Logger is a zap logger whose level can be changed at run time.
type Logger struct {
	*zap.Logger
	// Level is the current level.
	Level zap.AtomicLevel
}

// New returns a logger that writes to standard error. The level is debug,
// info, warn or error.
func New(level string) (*Logger, error) {
	l, err := zap.ParseAtomicLevel(level)
	if err != nil {
		return nil, eris.Wrapf(fault.Malformed, "log level: %v", err)
	}
	cfg := zap.NewProductionConfig()
	cfg.Level = l
	cfg.DisableStacktrace = true
	cfg.DisableCaller = true
	cfg.Sampling = nil
	cfg.EncoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	built, err := cfg.Build(zap.WrapCore(func(c zapcore.Core) zapcore.Core { return core{c} }))
	if err != nil {
		return nil, eris.Wrap(err, "logger")
	}
	return &Logger{Logger: built, Level: l}, nil
}

// NewSpooled returns a logger that writes through a spooler. Lines at level warn
// and above go to its unlimited sink, all others to its limited sink.
func NewSpooled(level string, s *spooler.Spooler) (*Logger, error) {
	l, err := zap.ParseAtomicLevel(level)
	if err != nil {
		return nil, eris.Wrapf(fault.Malformed, "log level: %v", err)
	}
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	ordinary := zap.LevelEnablerFunc(func(e zapcore.Level) bool { return l.Enabled(e) && e < zap.WarnLevel })
	failures := zap.LevelEnablerFunc(func(e zapcore.Level) bool { return l.Enabled(e) && e >= zap.WarnLevel })
	encoder := zapcore.NewJSONEncoder(cfg)
	return &Logger{Logger: zap.New(zapcore.NewTee(
		core{zapcore.NewCore(encoder, s.LimitedSink(), ordinary)},
		core{zapcore.NewCore(encoder, s.UnlimitedSink(), failures)},
	)), Level: l}, nil
}

// core writes errors as plain strings. Otherwise zap adds the stack trace of
// every eris error to the line.
type core struct {
	zapcore.Core
}

// With returns the core with the fields added.
func (c core) With(fields []zapcore.Field) zapcore.Core { return core{c.Core.With(plain(fields))} }

// Check adds the core to checked if the level of the entry is enabled.
func (c core) Check(e zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(e.Level) {
		return checked.AddCore(e, c)
	}
	return checked
}

// Write writes the entry without stack traces.
func (c core) Write(e zapcore.Entry, fields []zapcore.Field) error {
	return c.Core.Write(e, plain(fields))
}

func plain(fields []zapcore.Field) []zapcore.Field {
	result := make([]zapcore.Field, len(fields))
	for i, f := range fields {
		if err, ok := f.Interface.(error); ok && f.Type == zapcore.ErrorType {
			f = zap.String(f.Key, err.Error())
		}
		result[i] = f
	}
	return result
}
