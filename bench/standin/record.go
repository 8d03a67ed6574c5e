// Package standin holds the processes that stand in for what surrounds
// dillchute: engines, the weight store, the platform, trainers, scorers and callers.
package standin

import (
	"encoding/json"
	"os"
	"sync"
	"time"

	"github.com/dillchute/dillchute/bench/oracle"
)

// Recorder appends events to a file, one write for each, so that a killed
// process leaves all but perhaps its last.
type Recorder struct {
	mutex sync.Mutex
	file  *os.File
}

const recordMode = 0o600

// NewRecorder opens the file for appending; an empty path records nothing.
func NewRecorder(path string) (*Recorder, error) {
	if path == "" {
		return &Recorder{}, nil
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, recordMode)
	if err != nil {
		return nil, err
	}
	return &Recorder{file: file}, nil
}

// Record writes the event under the current time.
func (r *Recorder) Record(event oracle.Event) {
	if r.file == nil {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	event.At = time.Now().UnixMilli()
	line, err := json.Marshal(event)
	if err != nil {
		panic("standin: an event must encode: " + err.Error())
	}
	// A full disk ends the experiment: its record would not be complete.
	if _, err := r.file.Write(append(line, '\n')); err != nil {
		panic("standin: write record: " + err.Error())
	}
}
