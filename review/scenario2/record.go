package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what a scenario sends, answers and runs to a file, with the time since its start.
type record struct {
	start time.Time

	mu   sync.Mutex
	file *os.File
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), file: f}, nil
}

// printf writes a line. Lines that can't be written are lost: the exit status does not depend on them.
func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
	_, _ = r.file.WriteString(line)
}

// at returns an instant as it is written in the record.
func (r *record) at(t time.Time) string {
	return fmt.Sprintf("%.3f", t.Sub(r.start).Seconds())
}

func (r *record) close() {
	_ = r.file.Close() // see printf
}
