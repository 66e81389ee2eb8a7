package telemetry

import (
	"io"
	"sync/atomic"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"github.com/samber/oops"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// newLogger returns a logger that writes logfmt lines. Each line begins with time,
// level, event, role, host and data centre.
//
// If the configuration has a line limit, dropped counts the lines that are not written.
func newLogger(config Config, dropped *atomic.Uint64) *zap.Logger {
	encoder := zaplogfmt.NewEncoder(zapcore.EncoderConfig{
		TimeKey:        "time",
		LevelKey:       "level",
		MessageKey:     "event",
		LineEnding:     zapcore.DefaultLineEnding,
		EncodeTime:     zapcore.RFC3339NanoTimeEncoder,
		EncodeLevel:    zapcore.LowercaseLevelEncoder,
		EncodeDuration: zapcore.StringDurationEncoder,
	})
	output := config.Output
	if output == nil {
		output = io.Discard
	}
	var core zapcore.Core
	if config.LineLimit > 0 {
		core = zapcore.NewCore(encoder, newBoundedWriter(output, dropped), zapcore.InfoLevel)
		core = newLimitedCore(plainErrors{core}, config.LineLimit, dropped)
	} else {
		core = plainErrors{zapcore.NewCore(encoder, zapcore.Lock(zapcore.AddSync(output)), zapcore.InfoLevel)}
	}
	return zap.New(core).With(
		zap.String("role", string(config.Role)),
		zap.String("host", config.Host),
		zap.String("data-centre", config.DataCentre),
	)
}

// plainErrors writes an error as its message and code. Without it, zap also writes the
// verbose form of oops errors, which contains a stack trace.
type plainErrors struct {
	zapcore.Core
}

// With returns a core that adds fields to each entry.
func (p plainErrors) With(fields []zapcore.Field) zapcore.Core {
	return plainErrors{p.Core.With(plainFields(fields))}
}

// Check adds the core to checked if the level of entry is enabled.
func (p plainErrors) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if p.Enabled(entry.Level) {
		return checked.AddCore(entry, p)
	}
	return checked
}

// Write writes an entry with its errors in plain form.
func (p plainErrors) Write(entry zapcore.Entry, fields []zapcore.Field) error {
	return p.Core.Write(entry, plainFields(fields))
}

func plainFields(fields []zapcore.Field) []zapcore.Field {
	result := make([]zapcore.Field, 0, len(fields))
	for _, field := range fields {
		err, ok := field.Interface.(error)
		if field.Type != zapcore.ErrorType || !ok {
			result = append(result, field)
			continue
		}
		result = append(result, zap.String(field.Key, err.Error()))
		if detail, ok := oops.AsOops(err); ok {
			if code, ok := detail.Code().(string); ok && code != "" {
				result = append(result, zap.String("code", code))
			}
		}
	}
	return result
}

// LogEvent logs an event: at error level if err is not nil, and at info level otherwise.
// Components that do not depend on the logger take this method as a callback.
func (t *Telemetry) LogEvent(event string, err error) {
	if err != nil {
		t.logger.Error(event, zap.Error(err))
		return
	}
	t.logger.Info(event)
}
