//go:build review

package main

import (
	"flag"
	"fmt"
	"net/http"
	"os"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases maps the name of a case to the function that plays it and reports whether the rule was broken.
var cases = map[string]func(f *fleet, trouble bool) (broken bool, err error){
	"reward":  playReward,
	"single":  playSingle,
	"version": playVersion,
	"stamp":   playStamp,
	"spoil":   playSpoil,
}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "the case to play")
	binary := flag.String("binary", "", "the program of the deploy file")
	folder := flag.String("folder", "", "a temporary folder")
	recordPath := flag.String("record", "record.txt", "the file that tells what was sent, answered and run")
	flag.Parse()
	play := cases[*name]
	out, err := newRecord(*recordPath)
	if play == nil || err != nil {
		fmt.Fprintln(os.Stderr, "unknown case, or no record:", *name, err)
		return exitNotRun
	}
	f, err := newFleet(*folder, *binary, out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer f.stop()
	trouble := os.Getenv("TROUBLE") != "0"
	out.add("case %s, trouble %t", *name, trouble)
	if err := f.start(true); err != nil {
		out.add("not run: %v", err)
		return exitNotRun
	}
	broken, err := play(f, trouble)
	switch {
	case err != nil:
		out.add("not run: %v", err)
		return exitNotRun
	case broken:
		out.add("the rule was broken")
		return exitBroken
	}
	out.add("the rule held")
	return exitHeld
}

// errNotReady is returned if the deployment does not come up.
type errNotReady string

func (e errNotReady) Error() string { return string(e) }

// bringUp starts the workers, puts the configuration and waits until all gateways are ready.
func (f *fleet) bringUp(configuration map[string]any, workers []*worker) error {
	if !f.control(http.MethodPut, "/dillchute/config", configuration, 30*time.Second) {
		return errNotReady("the configuration was not acknowledged")
	}
	for _, w := range workers {
		if err := w.start(); err != nil {
			return err
		}
	}
	for _, gateway := range f.byRole("gateway") {
		url := "http://" + f.address(gateway, "ready") + "/dillchute/ready"
		for end := time.Now().Add(20 * time.Second); ; time.Sleep(100 * time.Millisecond) {
			if status, _ := f.call(http.MethodGet, url, "", nil, nil); status == http.StatusOK {
				break
			}
			if time.Now().After(end) {
				return errNotReady(gateway.name + " is not ready")
			}
		}
	}
	// The workers' first heartbeats and the formation of the ledger's group.
	time.Sleep(6 * time.Second)
	return nil
}
