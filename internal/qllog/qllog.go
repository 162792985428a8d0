// Package qllog creates loggers that write one line of key=value pairs for
// each event.
//
// New returns a logger that writes synchronously. NewBounded returns one for a
// router under load: it writes in the background, so that a slow reader of the
// log delays no request, and it samples frequent events, so that a burst of them
// does not flood the log.
//
// # Usage
//
//	log, err := qllog.New(os.Stderr, "info")
//	log.Info("request-ended", zap.String("request", id), zap.Int("code", 100))
//
//	log, bounded, err := qllog.NewBounded(os.Stdout, "info")
//	defer bounded.Close()
package qllog

import (
	"io"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"github.com/juju/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// New returns a logger that writes to w synchronously. The level is debug, info,
// warn or error.
func New(w io.Writer, level string) (*zap.Logger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, errors.NotValidf("log level %q (write debug, info, warn or error)", level)
	}
	core := zapcore.NewCore(zaplogfmt.NewEncoder(encoderConfig()), zapcore.Lock(zapcore.AddSync(w)), parsed)
	return zap.New(core), nil
}

func encoderConfig() zapcore.EncoderConfig {
	config := zap.NewProductionEncoderConfig()
	config.TimeKey = "time"
	config.MessageKey = "event"
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	config.EncodeDuration = zapcore.StringDurationEncoder
	return config
}
