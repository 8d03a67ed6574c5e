//go:build review

// Command second starts a small deployment of real processes with stand-ins for the operator, the workers and a
// trainer, and checks one promise. It is built by review/build-2.sh and started by the run.sh of a case.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The bounds of the site vdg-nominari that the templates of the settings use.
const (
	graceSeconds    = 8
	drainMillis     = 2000
	beatMillis      = 1200
	statusSeconds   = 120
	leaseMillis     = 3000
	frontMemory     = 284
	storeMemory     = 294
	coreMemory      = 280
	machinesPerRole = 3
)

var zones = []string{"sala-a", "sala-b", "sala-c"}

// machine is one process of the system with an address of its own.
type machine struct {
	name, role, ip, settings string
	command                  *exec.Cmd
	exited                   chan struct{}
}

// fleet is the deployment.
type fleet struct {
	folder, binary string
	innerPort      int
	ports          map[string]int
	machines       []*machine
	client         *http.Client
	out            *record
}

// record is the file record.txt.
type record struct {
	mutex sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, start: time.Now()}, err
}

func (r *record) add(format string, values ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, values...))
}

// freePorts returns that many different ports that are free on a loopback address.
func freePorts(count int) ([]int, error) {
	var ports []int
	for range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		// The listeners stay open until all ports are chosen, so that none is chosen twice.
		defer listener.Close()
		ports = append(ports, listener.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

func newFleet(folder, binary string, out *record) (*fleet, error) {
	f := &fleet{folder: folder, binary: binary, ports: map[string]int{}, client: &http.Client{Timeout: 2500 * time.Millisecond}, out: out}
	names := []string{"inner", "metrics", "control", "front", "ready"}
	ports, err := freePorts(len(names))
	if err != nil {
		return nil, err
	}
	for position, name := range names {
		f.ports[name] = ports[position]
	}
	second := os.Getpid()%200 + 20
	for number := range machinesPerRole {
		for _, role := range []string{"directory", "ledger", "gateway"} {
			class := map[string]string{"directory": "core", "ledger": "store", "gateway": "front"}[role]
			host := map[string]int{"directory": 10, "ledger": 20, "gateway": 30}[role] + number
			f.machines = append(f.machines, &machine{
				name: fmt.Sprintf("%s-%s-1", class, zones[number]), role: role, ip: fmt.Sprintf("127.%d.0.%d", second, host),
			})
		}
	}
	return f, nil
}

func (f *fleet) byRole(role string) []*machine {
	var found []*machine
	for _, m := range f.machines {
		if m.role == role {
			found = append(found, m)
		}
	}
	return found
}

func (f *fleet) address(m *machine, port string) string {
	return fmt.Sprintf("%s:%d", m.ip, f.ports[port])
}

// writeSettings fills in the template of the deploy file for a machine.
func (f *fleet) writeSettings(m *machine, zone string, firstStart bool) error {
	var seeds []string
	for _, core := range f.byRole("directory") {
		seeds = append(seeds, fmt.Sprintf("%q", f.address(core, "control")))
	}
	memory := map[string]int{"directory": coreMemory, "ledger": storeMemory, "gateway": frontMemory}[m.role]
	text := fmt.Sprintf("cluster: dillchute\nname: %s\nzone: %s\nregion: ro-bucuresti\ninternal_address: %q\nmetrics_address: %q\n"+
		"peers: [%s]\npeer_port: %d\nmemory_limit_mib: %d\ngrace: %ds\n", m.name, zone, f.address(m, "inner"), f.address(m, "metrics"),
		strings.Join(seeds, ", "), f.ports["inner"], memory, graceSeconds)
	data := filepath.Join(f.folder, m.name)
	switch m.role {
	case "gateway":
		text += fmt.Sprintf("copy_limit: %dms\ncaller_address: %q\nready_address: %q\n", drainMillis, f.address(m, "front"), f.address(m, "ready"))
	case "directory":
		text += fmt.Sprintf("control_address: %q\ndata_folder: %q\nfirst_start: %t\nheartbeat_interval: %dms\ntolerated_losses: 1\n"+
			"tolerated_zones: 0\nhold_orders: false\nduties: []\nduty_lease: %dms\n", f.address(m, "control"), data, firstStart, beatMillis, leaseMillis)
	case "ledger":
		text += fmt.Sprintf("copy_limit: %dms\ndata_folder: %q\nfirst_start: %t\ntolerated_losses: 1\norder_lease: %dms\nretention: %ds\n",
			drainMillis, data, firstStart, leaseMillis, statusSeconds)
	}
	if m.role != "gateway" {
		if err := os.MkdirAll(data, 0o700); err != nil {
			return err
		}
	}
	m.settings = filepath.Join(f.folder, m.name+".yaml")
	return os.WriteFile(m.settings, []byte(text), 0o600)
}

// start starts the processes that do not run.
func (f *fleet) start(firstStart bool) error {
	for number, m := range f.machines {
		if m.command != nil {
			continue
		}
		if err := f.writeSettings(m, zones[number/3], firstStart); err != nil {
			return err
		}
		log, err := os.OpenFile(filepath.Join(f.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return err
		}
		command := exec.Command(f.binary, m.role)
		command.Env = append(os.Environ(), "DILLCHUTE_CONFIG="+m.settings)
		command.Stdout, command.Stderr = log, log
		command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		if err := command.Start(); err != nil {
			return err
		}
		exited := make(chan struct{})
		m.command, m.exited = command, exited
		go func() {
			// The status of a killed process is not an error of the case.
			_ = command.Wait()
			log.Close()
			close(exited)
		}()
	}
	return nil
}

// stop ends all processes.
func (f *fleet) stop() {
	for _, m := range f.machines {
		if m.command != nil {
			_ = m.command.Process.Signal(syscall.SIGCONT)
			_ = m.command.Process.Kill()
			<-m.exited
		}
	}
}

// call sends a request with a JSON body, and returns the status, 0 without an answer, and the body.
func (f *fleet) call(method, url, host string, header map[string]string, body any) (int, []byte) {
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return 0, nil
		}
		reader = bytes.NewReader(data)
	}
	request, err := http.NewRequest(method, url, reader)
	if err != nil {
		return 0, nil
	}
	request.Host, request.Close = host, true
	request.Header.Set("Content-Type", "application/json")
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := f.client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, data
}

// control calls the machines of the core in turn until one gives the status 200.
func (f *fleet) control(method, path string, body any, limit time.Duration) bool {
	cores := f.byRole("directory")
	for number, end := 0, time.Now().Add(limit); time.Now().Before(end); number++ {
		if status, _ := f.call(method, "http://"+f.address(cores[number%len(cores)], "control")+path, "", nil, body); status == http.StatusOK {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// front returns the base URL of the gateway with the number.
func (f *fleet) front(number int) string {
	gateways := f.byRole("gateway")
	return "http://" + f.address(gateways[number%len(gateways)], "front")
}
