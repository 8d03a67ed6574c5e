// Package standin implements stand-ins for the processes around dillchute: engines, the weight
// store, the platform, trainers, scorers and callers.
package standin

import (
	"encoding/json"
	"os"
	"sync"
	"time"

	"github.com/dillchute/dillchute/bench/oracle"
)

// Recorder appends events to a file with one write each, so that a crash loses at most the last one.
type Recorder struct {
	mutex sync.Mutex
	file  *os.File
}

const recordFileMode = 0o600

// NewRecorder opens the file for appending. With an empty path, events are discarded.
func NewRecorder(path string) (*Recorder, error) {
	if path == "" {
		return &Recorder{}, nil
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, recordFileMode)
	if err != nil {
		return nil, err
	}
	return &Recorder{file: file}, nil
}

// Record writes the event with the current time.
func (r *Recorder) Record(event oracle.Event) {
	if r.file == nil {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	event.At = time.Now().UnixMilli()
	line, err := json.Marshal(event)
	if err != nil {
		panic("standin: encode event: " + err.Error())
	}
	// An incomplete record would invalidate the experiment.
	if _, err := r.file.Write(append(line, '\n')); err != nil {
		panic("standin: write record: " + err.Error())
	}
}
