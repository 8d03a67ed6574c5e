//go:build review

// Command platform runs the scripts of the review: it starts the system's processes, plays clients, workers and
// the operator as the users' pages describe them, and judges what they see.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit statuses of a script.
const (
	exitHeld     = 0
	exitBroken   = 1
	exitNotRun   = 2
	recordName   = "record.txt"
	troubleValue = "0"
)

// script is one case. It returns whether the rule was broken, or an error if the case could not run.
type script func(f *fleet, record *record, trouble bool) (broken bool, err error)

var scripts = map[string]script{"surplus-refusal": surplusRefusal, "lost-snapshot": lostSnapshot, "foreign-failure": foreignFailure}

func main() {
	if len(os.Args) != 4 || scripts[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin SCRIPT BINARY FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(run(scripts[os.Args[1]], os.Args[2], os.Args[3]))
}

func run(play script, binary, caseFolder string) int {
	folder, err := os.MkdirTemp("", "dillchute-review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer os.RemoveAll(folder)
	log, err := newRecord(filepath.Join(caseFolder, recordName))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer log.close()
	f, err := newFleet(binary, folder)
	if err != nil {
		log.line("cannot run: %v", err)
		return exitNotRun
	}
	defer f.stopAll()
	broken, err := play(f, log, os.Getenv("TROUBLE") != troubleValue)
	switch {
	case err != nil:
		log.line("cannot run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case broken:
		return exitBroken
	}
	return exitHeld
}
