//go:build review

package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The case "attempts": the operator adds a route with a high max-attempts. No process may outgrow its memory by that.
// The stand-in of the platform kills a process over its limit and starts it again after a short delay.

const (
	lookupPrefix = "/lohu930/"
	lookupRate   = 6
	lookupTime   = 40 * time.Second
	lookupWork   = 25 * time.Millisecond
	// manyAttempts is the max-attempts of an operator who wants no limit, usualAttempts that of the site.
	manyAttempts, usualAttempts = 10_000_000, 2
	memoryInterval              = 20 * time.Millisecond
	restartDelay                = 300 * time.Millisecond
	// The rule Fault: so many ends of its own on so many machines.
	faultEnds, faultMachines = 3, 2
)

// residentMegabytes returns the memory that a process holds, or 0 if it has ended.
func residentMegabytes(process int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", process))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		var kilobytes int
		if _, err := fmt.Sscanf(line, "VmRSS: %d kB", &kilobytes); err == nil {
			return kilobytes >> 10
		}
	}
	return 0
}

// superviseMemory kills gateways over their limit and starts those that have ended, and counts the ends.
func (f *fleet) superviseMemory(stop <-chan struct{}, ends map[string]int, mutex *sync.Mutex) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(memoryInterval):
		}
		for _, m := range f.byRole("gateway") {
			held := residentMegabytes(m.command.Process.Pid)
			if held > frontMemory {
				f.out.add("%s holds %d MB, over its limit of %d MB, and is killed", m.name, held, frontMemory)
				_ = m.command.Process.Signal(syscall.SIGKILL)
				<-m.exited
			}
			select {
			case <-m.exited:
			default:
				continue
			}
			mutex.Lock()
			ends[m.name]++
			f.out.add("%s has ended by itself or over its memory, %d times by now", m.name, ends[m.name])
			mutex.Unlock()
			time.Sleep(restartDelay)
			m.command = nil
			if err := f.start(false); err != nil {
				f.out.add("%s does not start: %v", m.name, err)
				return
			}
		}
	}
}

func playAttempts(f *fleet, trouble bool) (broken bool, err error) {
	answer := func(w *worker, response http.ResponseWriter, request *http.Request, _ []byte) {
		time.Sleep(lookupWork)
		response.Header().Set("Server-Stamp", w.stamp(request.Header.Get("Request-Id")))
		fmt.Fprint(response, "position")
	}
	var workers []*worker
	for number := range 3 {
		workers = append(workers, &worker{id: fmt.Sprintf("i-plain%d", number), service: plainService, zone: zones[number], address: "127.0.0.1:0", slots: 6, fleet: f, answer: answer})
	}
	if err := f.bringUp(configuration(false), workers); err != nil {
		return false, err
	}
	ends, mutex, stop := map[string]int{}, sync.Mutex{}, make(chan struct{})
	var supervisor sync.WaitGroup
	supervisor.Go(func() { f.superviseMemory(stop, ends, &mutex) })
	attempts := usualAttempts
	if trouble {
		attempts = manyAttempts
	}
	next := configuration(false)
	next["version"] = 2
	next["routes"] = append(next["routes"].([]map[string]any), map[string]any{"name": "lookup", "host": host, "path-prefix": lookupPrefix, "kind": "safe",
		"timeout-ms": 1500, "target-ms": 150, "priority": 2, "service": plainService, "max-attempts": attempts})
	if !f.control(http.MethodPut, "/dillchute/config", next, 4*time.Second) {
		return false, errNotReady("the second configuration was not acknowledged")
	}
	f.out.add("version 2 is acknowledged; it adds a route with max-attempts %d", attempts)
	time.Sleep(2 * time.Second)
	var clients sync.WaitGroup
	statuses := map[int]int{}
	for number := range int(lookupTime.Seconds()) * lookupRate {
		clients.Go(func() {
			status, _ := f.call(http.MethodPost, f.front(number)+lookupPrefix+"2f", host,
				map[string]string{"Request-Id": identifier(9, number, 1), "Deadline-Ms": "1500"}, map[string]string{"account": "2f"})
			mutex.Lock()
			defer mutex.Unlock()
			if statuses[status]++; status != http.StatusOK {
				f.out.add("lookup %d at front %d: %d", number, number%machinesPerRole, status)
			}
		})
		time.Sleep(time.Second / lookupRate)
	}
	clients.Wait()
	close(stop)
	supervisor.Wait()
	over := 0
	for name, count := range ends {
		f.out.add("%s ended %d times", name, count)
		if count >= faultEnds {
			over++
		}
	}
	f.out.add("answers by status (0: none): %v", statuses)
	if statuses[http.StatusOK] == 0 && !trouble {
		return false, errNotReady("no lookup was answered")
	}
	return over >= faultMachines, nil
}
