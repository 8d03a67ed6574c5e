//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The script lostSnapshot: a large configuration changes in quick succession while one follower of the core is
// killed, started again and runs slowly, some times over, and the leader freezes now and then. A few seconds after
// all that, another machine of the core loses its disk right after it has acknowledged a change. The last
// acknowledged configuration must be read back.

const (
	// growth is the number of routes that one strike of big_config adds in the site file; the configuration grows
	// by growthStrikes of them.
	growth        = 350
	growthStrikes = 12
	// stormGap is the pause between changes, and stormInFlight the changes under way at once.
	stormGap      = 80 * time.Millisecond
	stormInFlight = 8
	stormLimit    = 60 * time.Second
	// slowRun and slowPause let a process run for 1 of 10 ms. A core machine of the site has 0.48 of one core; five
	// times slower (node_slow, x = 5), it has 0.096 of one.
	slowRun   = time.Millisecond
	slowPause = 9 * time.Millisecond
	// restartDelay is the delay after which the platform starts an ended process again.
	restartDelay = 500 * time.Millisecond
	// calmTime is longer than catch-up-s.
	calmTime = 7 * time.Second
	// downTime is how long a killed process is down. Meanwhile the leader compacts its log.
	downTime = 2 * time.Second
	// recoverTime is longer than recover-s.
	recoverTime = 15 * time.Second
)

func largeConfiguration(version int) []byte {
	type route struct {
		Name     string `json:"name"`
		Host     string `json:"host"`
		Prefix   string `json:"path-prefix"`
		Kind     string `json:"kind"`
		Timeout  int    `json:"timeout-ms"`
		Target   int    `json:"target-ms"`
		Priority int    `json:"priority"`
		Service  string `json:"service"`
		Attempts int    `json:"max-attempts"`
	}
	routes := make([]route, growth*min(version, growthStrikes))
	for number := range routes {
		routes[number] = route{
			Name: fmt.Sprintf("r-%07d", number), Host: fmt.Sprintf("ho%05d.example", number/10), Prefix: fmt.Sprintf("/pa%05d/", number),
			Kind: "safe", Timeout: 1500, Target: 150, Priority: 2, Service: caseService, Attempts: 4,
		}
	}
	// Each change gives a few routes new time-outs.
	for number := range 5 {
		routes[(version*7+number)%len(routes)].Timeout = 1000 + version%500
	}
	body, err := json.Marshal(map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{{"name": caseService, "health-path": "/health", "max-conns": 110, "protocol": "h1", "tls": false}},
		"limits":   map[string]int{"max-header-bytes": 16384, "max-body-bytes": 33554432, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
	if err != nil {
		panic(err)
	}
	return body
}

// operator sends configurations and knows the highest acknowledged version.
type operator struct {
	fleet        *fleet
	record       *record
	acknowledged atomic.Int64
}

// put sends a configuration to a directory, and then to others, until one acknowledges it.
func (o *operator) put(version, first int, limit time.Duration) bool {
	body := largeConfiguration(version)
	o.record.line("operator: sends version %d", version)
	for number, deadline := first, time.Now().Add(limit); time.Now().Before(deadline); number++ {
		p := o.fleet.directories[number%len(o.fleet.directories)]
		if status := o.send(p, body); status/100 == 2 {
			o.record.line("operator: version %d is acknowledged by %s", version, p.name)
			for known := o.acknowledged.Load(); int64(version) > known && !o.acknowledged.CompareAndSwap(known, int64(version)); {
				known = o.acknowledged.Load()
			}
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

func (o *operator) send(p *process, body []byte) int {
	client := &http.Client{Timeout: 3 * time.Second}
	request, err := http.NewRequest(http.MethodPut, o.url(p), bytes.NewReader(body))
	if err != nil {
		return 0
	}
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

func (o *operator) url(p *process) string {
	return fmt.Sprintf("http://%s:%d/dillchute/config", p.address, o.fleet.ports.control)
}

// read returns the version of the configuration that a directory answers with, 0 if there is no clear answer.
func (o *operator) read(p *process) int {
	response, err := o.fleet.client.Get(o.url(p))
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	var decoded struct {
		Version int `json:"version"`
	}
	if err != nil || response.StatusCode != http.StatusOK || json.Unmarshal(body, &decoded) != nil {
		return 0
	}
	return decoded.Version
}

// storm sends changes until the channel is closed, and returns the next version.
func (o *operator) storm(version int, stop <-chan struct{}) int {
	var sending sync.WaitGroup
	places := make(chan struct{}, stormInFlight)
	defer sending.Wait()
	for {
		select {
		case <-stop:
			return version
		case places <- struct{}{}:
		}
		current := version
		sending.Go(func() {
			defer func() { <-places }()
			o.put(current, current, 10*time.Second)
		})
		version++
		time.Sleep(stormGap)
	}
}

// slowDown stops and continues the process in turn until the channel is closed.
func slowDown(p *process, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		default:
		}
		p.command.Process.Signal(syscall.SIGSTOP)
		time.Sleep(slowPause)
		p.command.Process.Signal(syscall.SIGCONT)
		time.Sleep(slowRun)
	}
}

// metric returns the value of a metric without labels, or "".
func (f *fleet) metric(p *process, name string) string {
	response, err := f.client.Get(fmt.Sprintf("http://%s:%d/metrics", p.address, f.ports.metrics))
	if err != nil {
		return ""
	}
	defer response.Body.Close()
	body, _ := io.ReadAll(response.Body)
	for _, line := range strings.Split(string(body), "\n") {
		if value, found := strings.CutPrefix(line, name+" "); found {
			return value
		}
	}
	return ""
}

// withServing returns a directory that leads, with "1", or does not, with "0".
func (f *fleet) withServing(value string) *process {
	for _, p := range f.directories {
		if f.metric(p, "dillchute_replica_serving") == value {
			return p
		}
	}
	return nil
}

// The names of the files in a data folder that decide when the process is killed.
const (
	databaseName   = "control.db"
	snapshotName   = "snapshot"
	receivedPrefix = "snapshot.received-"
	unfinished     = ".new"
	pollInterval   = 500 * time.Microsecond
	// quietTime is the least pause between two commits, and commitTime the longest between two writes of one.
	quietTime  = 150 * time.Millisecond
	commitTime = 50 * time.Millisecond
	// commitsAfterLoss counts the commits after which the process refers to the deleted file.
	commitsAfterLoss = 2
	// commitLimit is the time within which these commits come.
	commitLimit = 4 * time.Second
)

// awaitLoss waits until the process has deleted a snapshot that it has received and not installed. It returns
// false at the deadline, or when the process has ended.
func awaitLoss(p *process, deadline time.Time) bool {
	folder := filepath.Join(p.folder, "data")
	received := map[int]os.FileInfo{}
	for time.Now().Before(deadline) {
		select {
		case <-p.exited:
			return false
		default:
		}
		if lostIndex(folder, received) {
			return true
		}
		time.Sleep(pollInterval)
	}
	return false
}

// lostIndex updates the received snapshots, and reports whether one is gone although an older one was installed.
func lostIndex(folder string, received map[int]os.FileInfo) bool {
	entries, err := os.ReadDir(folder)
	if err != nil {
		return false
	}
	present := map[int]bool{}
	for _, entry := range entries {
		number, isReceived := strings.CutPrefix(strings.TrimSuffix(entry.Name(), unfinished), receivedPrefix)
		index, err := strconv.Atoi(number)
		if !isReceived || err != nil {
			continue
		}
		if info, err := entry.Info(); err == nil {
			received[index], present[index] = info, true
		}
	}
	installed, err := os.Stat(filepath.Join(folder, snapshotName))
	if err != nil {
		return false
	}
	installedIndex := -1
	for index, info := range received {
		if os.SameFile(info, installed) && info.ModTime().Equal(installed.ModTime()) && info.Size() == installed.Size() {
			installedIndex = index
		}
	}
	isLost := false
	for index := range received {
		if present[index] {
			continue
		}
		isLost = isLost || installedIndex >= 0 && index > installedIndex
		if index != installedIndex {
			delete(received, index)
		}
	}
	return isLost
}

// awaitCommits waits until the second commit from now on is complete.
func awaitCommits(path string) {
	changedAt, lastChange, commits := time.Now(), time.Time{}, 0
	for began := time.Now(); time.Since(began) < commitLimit; time.Sleep(pollInterval) {
		info, err := os.Stat(path)
		if err != nil {
			continue
		}
		switch {
		case lastChange.IsZero():
			lastChange = info.ModTime()
		case !info.ModTime().Equal(lastChange):
			if time.Since(changedAt) > quietTime || commits == 0 {
				commits++
			}
			lastChange, changedAt = info.ModTime(), time.Now()
		case commits >= commitsAfterLoss && time.Since(changedAt) > commitTime:
			return
		}
	}
}

// keepRunning starts the process again whenever it ends, until the channel is closed, and returns how often.
func (f *fleet) keepRunning(p *process, log *record, stop <-chan struct{}) (ends int) {
	for {
		select {
		case <-stop:
			return ends
		case <-p.exited:
		}
		ends++
		log.line("platform: %s has ended by itself: %s", p.name, lastLine(filepath.Join(p.folder, "log")))
		time.Sleep(restartDelay)
		if err := f.start(p, false); err != nil {
			log.line("platform: %v", err)
			return ends
		}
	}
}

func lastLine(path string) string {
	data, err := os.ReadFile(path)
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(data)), "\n")
	return lines[len(lines)-1]
}

func lostSnapshot(f *fleet, log *record, trouble bool) (bool, error) {
	if err := f.startAll(); err != nil {
		return false, err
	}
	o := &operator{fleet: f, record: log}
	for version := 1; version <= growthStrikes; version++ {
		if !o.put(version, version, 20*time.Second) {
			return false, fmt.Errorf("configuration %d is not acknowledged", version)
		}
	}
	if err := f.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(settleTime)
	slow := f.withServing("0")
	if slow == nil {
		return false, fmt.Errorf("no follower is known")
	}
	stopStorm, stormEnd := make(chan struct{}), make(chan int, 1)
	go func() { stormEnd <- o.storm(growthStrikes+1, stopStorm) }()
	if trouble {
		if err := f.slowAndKill(slow, log, time.Now().Add(stormLimit)); err != nil {
			return false, err
		}
	} else {
		time.Sleep(stormLimit / 2)
	}
	close(stopStorm)
	version := <-stormEnd
	stopPlatform := make(chan struct{})
	defer close(stopPlatform)
	go f.keepRunning(slow, log, stopPlatform)
	time.Sleep(calmTime)
	return o.wipeAndRead(version, slow, trouble)
}

// slowAndKill kills the process, starts it again after downTime and makes it run slowly. After awaitLoss the leader
// freezes for a moment, and the same begins anew. It returns once the process then ends by itself, or at the
// deadline, when the process runs as usual.
func (f *fleet) slowAndKill(p *process, log *record, deadline time.Time) error {
	for {
		p.command.Process.Kill()
		<-p.exited
		log.line("%s is killed", p.name)
		f.thaw()
		time.Sleep(downTime)
		if err := f.start(p, false); err != nil {
			return err
		}
		log.line("%s is started again", p.name)
		if time.Now().After(deadline) {
			return nil
		}
		stopSlow := make(chan struct{})
		var slowing sync.WaitGroup
		log.line("%s runs slowly from now on", p.name)
		slowing.Go(func() { slowDown(p, stopSlow) })
		hasEnded := f.freezeAfterLoss(p, log, deadline)
		close(stopSlow)
		slowing.Wait()
		if hasEnded {
			return nil
		}
	}
}

// freezeAfterLoss waits until the process has lost a snapshot, and freezes the leader until its next commits are
// complete. It reports whether the process has ended by itself.
func (f *fleet) freezeAfterLoss(p *process, log *record, deadline time.Time) (hasEnded bool) {
	leader := f.withServing("1")
	for time.Now().Before(deadline) {
		isLost := awaitLoss(p, deadline)
		select {
		case <-p.exited:
			return true
		default:
		}
		if isLost && leader != nil {
			leader.command.Process.Signal(syscall.SIGSTOP)
			log.line("%s freezes", leader.name)
			awaitCommits(filepath.Join(p.folder, "data", databaseName))
			return false
		}
	}
	return false
}

// thaw continues all directories.
func (f *fleet) thaw() {
	for _, p := range f.directories {
		p.command.Process.Signal(syscall.SIGCONT)
	}
}

// wipeAndRead has another directory acknowledge a change and lose its disk right after, and reads the
// configuration back.
func (o *operator) wipeAndRead(version int, slow *process, trouble bool) (bool, error) {
	wiped := o.fleet.directories[0]
	if wiped == slow {
		wiped = o.fleet.directories[1]
	}
	position := 0
	for o.fleet.directories[position] != wiped {
		position++
	}
	if !o.put(version, position, 20*time.Second) {
		o.record.line("version %d is not acknowledged", version)
	}
	if trouble {
		wiped.command.Process.Kill()
		<-wiped.exited
		if err := os.RemoveAll(filepath.Join(wiped.folder, "data")); err != nil {
			return false, err
		}
		o.record.line("%s has lost its disk", wiped.name)
		time.Sleep(restartDelay)
		if err := o.fleet.start(wiped, false); err != nil {
			return false, err
		}
	}
	wanted := int(o.acknowledged.Load())
	for deadline := time.Now().Add(recoverTime); time.Now().Before(deadline); time.Sleep(200 * time.Millisecond) {
		for _, p := range o.fleet.directories {
			held := o.read(p)
			if held > 0 {
				o.record.line("operator: %s answers with version %d; acknowledged: %d", p.name, held, wanted)
			}
			if held >= wanted {
				return false, nil
			}
		}
	}
	o.record.line("CONFIG: version %d was acknowledged, and cannot be read back", wanted)
	return true, nil
}
