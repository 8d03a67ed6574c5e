//go:build review

package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file of what was sent, answered and run.
type record struct {
	mutex  sync.Mutex
	file   *os.File
	writer *bufio.Writer
	start  time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, writer: bufio.NewWriter(file), start: time.Now()}, nil
}

// line writes a line with the time since the start.
func (r *record) line(format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.writer, "%9.4f ", time.Since(r.start).Seconds())
	fmt.Fprintf(r.writer, format+"\n", arguments...)
}

func (r *record) close() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.writer.Flush()
	r.file.Close()
}
