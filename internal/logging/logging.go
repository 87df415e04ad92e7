// Package logging writes one line of key=value pairs for each event, with zap
// and its logfmt encoder.
package logging

import (
	"io"
	"time"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/corianderbank/corianderbank/api"
)

// New returns a logger that writes lines of at least the given level ("debug",
// "info", "warn", "error") to w, each with the fields instance and availability_zone.
func New(w io.Writer, level, instance, zone string) (*zap.Logger, error) {
	minLevel, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	config.EncodeDuration = zapcore.MillisDurationEncoder
	core := zapcore.NewCore(zaplogfmt.NewEncoder(config), zapcore.Lock(zapcore.AddSync(w)), minLevel)
	return zap.New(core).With(zap.String("instance", instance), zap.String("availability_zone", zone)), nil
}

// LogDecision logs a routing or placement decision.
func LogDecision(logger *zap.Logger, d api.Decision) {
	logger.Info("decision",
		zap.Time("at", d.At.Truncate(time.Microsecond)),
		zap.String("step", d.Step),
		zap.String("subject", d.Subject),
		zap.String("client_account", d.Account),
		zap.String("rule", d.Rule),
		zap.String("choice", d.Choice),
		zap.String("reason", d.Reason),
		zap.String("second_best", d.SecondBest),
	)
}
