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
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The script lostSnapshot: a large configuration changes in quick succession while one follower of the core runs
// slowly. Then that process is killed once and started again, and a few seconds later another machine of the core
// loses its disk right after it has acknowledged a change. With the first machine back, no more than one loss has
// to be borne at any time. The last acknowledged configuration must be read back.

const (
	routeCount = 2100
	// stormGap is the pause between changes, and stormInFlight the changes under way at once.
	stormGap      = 80 * time.Millisecond
	stormInFlight = 8
	stormLimit    = 70 * time.Second
	// slowRun and slowPause make a process run five times slower.
	slowRun   = 4 * time.Millisecond
	slowPause = 16 * time.Millisecond
	// restartDelay is the delay after which the platform starts an ended process again.
	restartDelay = 500 * time.Millisecond
	// calmTime is longer than catch-up-s.
	calmTime = 7 * time.Second
	// startTime is how long a process that was started again is watched before it is slowed down again.
	startTime = 2 * time.Second
	// recoverTime is longer than recover-s.
	recoverTime = 15 * time.Second
)

// emptied is in the log of a directory whose state has become that of a new group. It only decides when the
// process is killed.
const emptied = `"event":5035,"version":0,`

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
	routes := make([]route, routeCount)
	for number := range routes {
		routes[number] = route{
			Name: fmt.Sprintf("r-%07d", number), Host: fmt.Sprintf("ho%05d.example", number/10), Prefix: fmt.Sprintf("/pa%05d/", number),
			Kind: "safe", Timeout: 1500, Target: 150, Priority: 2, Service: caseService, Attempts: 4,
		}
	}
	// Each change gives a few routes new time-outs.
	for number := range 5 {
		routes[(version*7+number)%routeCount].Timeout = 1000 + version%500
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

// follower returns a directory that does not lead.
func (f *fleet) follower() *process {
	for _, p := range f.directories {
		if f.metric(p, "dillchute_replica_serving") == "0" {
			return p
		}
	}
	return nil
}

// awaitEmptied waits until the log of the process shows that its state is that of a new group.
func awaitEmptied(p *process, from int64, limit time.Duration) bool {
	path := filepath.Join(p.folder, "log")
	var rest []byte
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		file, err := os.Open(path)
		if err != nil {
			continue
		}
		file.Seek(from, io.SeekStart)
		added, _ := io.ReadAll(file)
		file.Close()
		from += int64(len(added))
		if rest = append(rest, added...); bytes.Contains(rest, []byte(emptied)) {
			return true
		}
		rest = rest[max(len(rest)-len(emptied), 0):]
	}
	return false
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
	if !o.put(1, 0, 20*time.Second) {
		return false, fmt.Errorf("the first configuration is not acknowledged")
	}
	if err := f.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(settleTime)
	slow := f.follower()
	if slow == nil {
		return false, fmt.Errorf("no follower is known")
	}
	stopStorm, stormEnd := make(chan struct{}), make(chan int, 1)
	go func() { stormEnd <- o.storm(2, stopStorm) }()
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

// slowAndKill makes the process run slowly, kills it when its log shows a new group's state, or at the deadline,
// and starts it again. It does so until the process then ends by itself, or the deadline has passed.
func (f *fleet) slowAndKill(p *process, log *record, deadline time.Time) error {
	for {
		stopSlow := make(chan struct{})
		var slowing sync.WaitGroup
		log.line("%s runs slowly from now on", p.name)
		slowing.Go(func() { slowDown(p, stopSlow) })
		from := int64(0)
		if info, err := p.log.Stat(); err == nil {
			from = info.Size()
		}
		awaitEmptied(p, from, time.Until(deadline))
		p.command.Process.Kill()
		<-p.exited
		log.line("%s is killed", p.name)
		close(stopSlow)
		slowing.Wait()
		time.Sleep(restartDelay)
		if err := f.start(p, false); err != nil {
			return err
		}
		log.line("%s is started again", p.name)
		select {
		case <-p.exited:
			return nil
		case <-time.After(startTime):
		}
		if time.Now().After(deadline) {
			return nil
		}
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
