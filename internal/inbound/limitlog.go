package inbound

import (
	"slices"
	"time"

	"go.uber.org/zap"
)

// belowLimitAfter is the time after which a limit that was not met again is logged as no longer met.
const belowLimitAfter = 5 * time.Second

// limitLog logs when a limit is met and when it is no longer met, one line for each change.
type limitLog struct {
	logger *zap.Logger
	fields []zap.Field

	met   bool
	metAt time.Time
}

// newLimitLog returns the log of the limit of something, with its fixed fields.
func newLimitLog(logger *zap.Logger, of string, fields ...zap.Field) limitLog {
	return limitLog{logger: logger, fields: append([]zap.Field{zap.String("of", of)}, fields...)}
}

// reached notes that the limit is met now.
func (l *limitLog) reached(fields ...zap.Field) {
	l.metAt = time.Now()
	l.change(true, fields)
}

// below notes that the limit is not met now.
func (l *limitLog) below(fields ...zap.Field) {
	if l.met && time.Since(l.metAt) >= belowLimitAfter {
		l.change(false, fields)
	}
}

func (l *limitLog) change(met bool, fields []zap.Field) {
	if l.met == met {
		return
	}
	l.met = met
	l.logger.Warn("inbound limit", slices.Concat(l.fields, []zap.Field{zap.Bool("met", met)}, fields)...)
}
