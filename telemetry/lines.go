package telemetry

import (
	"io"
	"sync"
	"sync/atomic"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// AsyncWriter passes log lines to a writer in the background, so that logging never
// blocks. If its queue is full, a line is dropped and counted. Use [NewAsyncWriter].
type AsyncWriter struct {
	queue   chan []byte
	dropped atomic.Int64
	done    chan struct{}

	mu     sync.RWMutex
	closed bool
}

// maxQueued is the capacity of the queue in lines, about 1 MB.
const maxQueued = 2048

// NewAsyncWriter returns an AsyncWriter that writes to w.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	l := &AsyncWriter{queue: make(chan []byte, maxQueued), done: make(chan struct{})}
	go func() {
		defer close(l.done)
		for line := range l.queue {
			// There is nowhere to report that the log writer failed.
			_, _ = w.Write(line)
		}
	}()
	return l
}

// Write implements io.Writer. It never blocks and never fails. Lines after Close are dropped.
func (l *AsyncWriter) Write(p []byte) (int, error) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	if l.closed {
		l.dropped.Add(1)
		return len(p), nil
	}
	select {
	case l.queue <- append([]byte(nil), p...):
	default:
		l.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns the number of dropped lines.
func (l *AsyncWriter) Dropped() int64 { return l.dropped.Load() }

// Close waits until the queued lines are written.
func (l *AsyncWriter) Close() {
	l.mu.Lock()
	if !l.closed {
		l.closed = true
		close(l.queue)
	}
	l.mu.Unlock()
	<-l.done
}

// NewLog returns a logger that writes JSON lines of the given level and above to w.
// If the level is empty or unknown, it is info.
func NewLog(w io.Writer, level string) *zap.Logger {
	cfg := zap.NewProductionEncoderConfig()
	cfg.TimeKey = "at"
	cfg.MessageKey = "event"
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	cfg.EncodeDuration = zapcore.MillisDurationEncoder
	lv, err := zapcore.ParseLevel(level)
	if err != nil {
		lv = zapcore.InfoLevel
	}
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(cfg), zapcore.Lock(zapcore.AddSync(w)), lv))
}
