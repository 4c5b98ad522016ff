package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// record is what was sent, answered and run, one line each, with the time since its start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
	// broken holds the descriptions of broken rules.
	broken []string
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, began: time.Now()}, err
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(r.began).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	_, _ = r.file.WriteString(line)
	fmt.Print(line)
}

// breaks records that a rule was broken.
func (r *record) breaks(format string, args ...any) {
	r.printf("BROKEN "+format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, fmt.Sprintf(format, args...))
}

// close writes the result and returns the exit status.
func (r *record) close(failure error) int {
	status, result := 0, "the rule held"
	switch {
	case failure != nil:
		status, result = 2, "the case could not run: "+failure.Error()
	case len(r.broken) > 0:
		status, result = 1, "the rule was broken: "+strings.Join(r.broken, "; ")
	}
	r.printf("exit %d, %s", status, result)
	_ = r.file.Close()
	return status
}
