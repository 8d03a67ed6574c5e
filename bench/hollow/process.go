package hollow

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// ticksPerSecond is the unit of processor time in /proc on Linux.
const ticksPerSecond = 100

// usage is a process's processor time and resident memory.
type usage struct {
	processor time.Duration
	resident  uint64
}

// processUsage reads the usage of a process; one that is gone has none.
func processUsage(id int) usage {
	var read usage
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", id))
	if err != nil {
		return read
	}
	// The fields after the program's name, which may hold spaces.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	const userField, systemField, residentField = 11, 12, 21
	if len(fields) <= residentField {
		return read
	}
	ticks := number(fields[userField]) + number(fields[systemField])
	read.processor = time.Duration(ticks) * time.Second / ticksPerSecond
	read.resident = number(fields[residentField]) * uint64(os.Getpagesize())
	return read
}

func number(text string) uint64 {
	value, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0
	}
	return value
}

// ownProcessor returns this process's processor time so far.
func ownProcessor() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
