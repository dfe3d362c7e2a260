package telemetry

import (
	"fmt"

	"go.uber.org/zap"
)

// Guard calls f and returns its error. A panic of f is logged and returned as an error, so
// that a fault in the handling of one message does not end the process.
func Guard(l *zap.Logger, what string, f func() error) (err error) {
	defer func() {
		if v := recover(); v != nil {
			l.Error("panic", zap.String("in", what), zap.Any("value", v), zap.Stack("stack"))
			err = fmt.Errorf("panic in %s: %v", what, v)
		}
	}()
	return f()
}
