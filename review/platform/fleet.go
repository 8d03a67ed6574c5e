//go:build review

package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// The figures of a small deployment, as on the users' pages.
const (
	zoneCount         = 3
	heartbeatInterval = 1200 * time.Millisecond
	graceSeconds      = 8
	drainMillis       = 2000
	leaseMillis       = 3000
	retentionSeconds  = 120
	frontMemory       = 284
	storeMemory       = 294
	coreMemory        = 280
)

// ports are the same on all machines of the deployment.
type ports struct {
	internal, metrics, control, front, ready int
}

// process is one process of the system.
type process struct {
	name, role, address string
	settings            string
	folder              string
	log                 *os.File
	command             *exec.Cmd
	exited              chan struct{}
}

// fleet holds the processes of a small deployment, one of each role in each zone.
type fleet struct {
	binary    string
	folder    string
	network   string
	ports     ports
	processes []*process
	// directories, ledgers and gateways are the processes by role.
	directories, ledgers, gateways []*process
	client                         *http.Client
}

// newFleet prepares the settings. Each process has its own loopback address, as it has its own machine.
func newFleet(binary, folder string) (*fleet, error) {
	f := &fleet{binary: binary, folder: folder, client: &http.Client{Timeout: time.Second}}
	f.network = fmt.Sprintf("127.%d.%d.", 64+rand.IntN(128), 1+rand.IntN(250))
	free, err := freePorts(f.address(1), 5)
	if err != nil {
		return nil, err
	}
	f.ports = ports{internal: free[0], metrics: free[1], control: free[2], front: free[3], ready: free[4]}
	host := 1
	for _, role := range []string{"directory", "ledger", "gateway"} {
		for zone := range zoneCount {
			p := f.newProcess(role, zone, f.address(host))
			host++
			f.processes = append(f.processes, p)
			switch role {
			case "directory":
				f.directories = append(f.directories, p)
			case "ledger":
				f.ledgers = append(f.ledgers, p)
			default:
				f.gateways = append(f.gateways, p)
			}
		}
	}
	return f, nil
}

func (f *fleet) address(host int) string { return fmt.Sprintf("%s%d", f.network, host) }

func freePorts(host string, count int) ([]int, error) {
	var numbers []int
	var listeners []net.Listener
	for range count {
		listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
		if err != nil {
			return nil, err
		}
		listeners = append(listeners, listener)
		numbers = append(numbers, listener.Addr().(*net.TCPAddr).Port)
	}
	for _, listener := range listeners {
		listener.Close()
	}
	return numbers, nil
}

func zoneName(zone int) string { return fmt.Sprintf("sala-%c", 'a'+zone) }

// newProcess returns a process with its settings, which are the filled templates of the folder deploy.
func (f *fleet) newProcess(role string, zone int, address string) *process {
	var seeds []string
	for host := 1; host <= zoneCount; host++ {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", f.address(host), f.ports.control)))
	}
	name := fmt.Sprintf("%s-%s-1", map[string]string{"directory": "core", "ledger": "store", "gateway": "front"}[role], zoneName(zone))
	p := &process{name: name, role: role, address: address, folder: filepath.Join(f.folder, name)}
	memory := map[string]int{"directory": coreMemory, "ledger": storeMemory, "gateway": frontMemory}[role]
	p.settings = fmt.Sprintf("cluster: dillchute\nname: %s\nzone: %s\nregion: ro-bucuresti\ninternal_address: \"%s:%d\"\nmetrics_address: \"%s:%d\"\npeers: [%s]\npeer_port: %d\nmemory_limit_mib: %d\ngrace: %ds\n",
		name, zoneName(zone), address, f.ports.internal, address, f.ports.metrics, strings.Join(seeds, ", "), f.ports.internal, memory, graceSeconds)
	data := filepath.Join(p.folder, "data")
	switch role {
	case "directory":
		p.settings += fmt.Sprintf("control_address: \"%s:%d\"\ndata_folder: %s\nheartbeat_interval: %s\ntolerated_losses: 1\ntolerated_zones: 0\nhold_orders: false\nduties: []\nduty_lease: %dms\n",
			address, f.ports.control, data, heartbeatInterval, leaseMillis)
	case "ledger":
		p.settings += fmt.Sprintf("copy_limit: %dms\ndata_folder: %s\ntolerated_losses: 1\norder_lease: %dms\nretention: %ds\n", drainMillis, data, leaseMillis, retentionSeconds)
	default:
		p.settings += fmt.Sprintf("copy_limit: %dms\ncaller_address: \"%s:%d\"\nready_address: \"%s:%d\"\n", drainMillis, address, f.ports.front, address, f.ports.ready)
	}
	return p
}

// start starts the process with the command of the deploy file.
func (f *fleet) start(p *process, firstStart bool) error {
	if err := os.MkdirAll(filepath.Join(p.folder, "data"), 0o700); err != nil {
		return err
	}
	settings := p.settings
	if p.role != "gateway" {
		settings += fmt.Sprintf("first_start: %t\n", firstStart)
	}
	path := filepath.Join(p.folder, "settings.yaml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return err
	}
	if p.log == nil {
		log, err := os.Create(filepath.Join(p.folder, "log"))
		if err != nil {
			return err
		}
		p.log = log
	}
	p.command = exec.Command(f.binary, p.role, "--config", path)
	// On the users' machines a process sees one core (DEPLOY, How these days are played).
	p.command.Env = append(os.Environ(), "GOMAXPROCS=1")
	p.command.Stdout, p.command.Stderr = p.log, p.log
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		return err
	}
	exited, command := make(chan struct{}), p.command
	p.exited = exited
	go func() {
		command.Wait()
		close(exited)
	}()
	return nil
}

func (f *fleet) startAll() error {
	for _, p := range f.processes {
		if err := f.start(p, true); err != nil {
			return err
		}
	}
	return nil
}

// stopAll ends all processes that were started.
func (f *fleet) stopAll() {
	for _, p := range f.processes {
		if p.command == nil || p.command.Process == nil {
			continue
		}
		p.command.Process.Signal(syscall.SIGCONT)
		p.command.Process.Kill()
		<-p.exited
		p.log.Close()
	}
}

// control makes a call to the control address of any directory until one acknowledges it.
func (f *fleet) control(method, path string, body []byte, limit time.Duration) error {
	deadline := time.Now().Add(limit)
	last := fmt.Errorf("no answer")
	for number := 0; time.Now().Before(deadline); number++ {
		p := f.directories[number%len(f.directories)]
		request, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", p.address, f.ports.control, path), bytes.NewReader(body))
		if err != nil {
			return err
		}
		request.Header.Set("Content-Type", "application/json")
		response, err := f.client.Do(request)
		if err != nil {
			last = err
			time.Sleep(100 * time.Millisecond)
			continue
		}
		answer, _ := io.ReadAll(response.Body)
		response.Body.Close()
		if response.StatusCode/100 == 2 {
			return nil
		}
		last = fmt.Errorf("%s %s: status %d %s", method, path, response.StatusCode, answer)
		time.Sleep(100 * time.Millisecond)
	}
	return last
}

// awaitReady waits until all gateways call themselves ready.
func (f *fleet) awaitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for _, p := range f.gateways {
		for {
			response, err := f.client.Get(fmt.Sprintf("http://%s:%d/dillchute/ready", p.address, f.ports.ready))
			if err == nil {
				response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", p.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}
