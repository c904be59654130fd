package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes the record of a case.
type recorder struct {
	mu    sync.Mutex
	out   *os.File
	start time.Time
}

func newRecorder(file string) (*recorder, error) {
	out, err := os.Create(file)
	if err != nil {
		return nil, err
	}
	return &recorder{out: out, start: time.Now()}, nil
}

func (r *recorder) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := fmt.Sprintf("%7.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
	_, _ = r.out.WriteString(text)
	fmt.Print(text)
}

func (r *recorder) close() { _ = r.out.Close() }
