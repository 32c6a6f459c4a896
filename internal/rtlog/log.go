// Package rtlog creates the structured logger of a process.
package rtlog

import (
	"fmt"
	"io"

	"github.com/go-logr/logr"
	"github.com/go-logr/zapr"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// New returns a logger that writes one JSON object per line to w. Level is
// "debug", "info" or "error". Each part of a process sets its name with WithName,
// which becomes the field "part".
func New(w io.Writer, level string) (logr.Logger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return logr.Discard(), fmt.Errorf("log level %q: want debug, info or error", level)
	}
	encoder := zap.NewProductionEncoderConfig()
	encoder.NameKey = "part"
	encoder.TimeKey = "time"
	encoder.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoder), zapcore.Lock(zapcore.AddSync(w)), parsed)
	return zapr.NewLogger(zap.New(core)), nil
}
