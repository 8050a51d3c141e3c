package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
)

// The resource limits of one process. The memory limit is that of its configuration; a program that is built with
// the race detector takes several times as much.
const (
	soakMemoryLimitMB  = 192
	soakSocketLimit    = 256
	soakGoroutineLimit = 4 * soakSocketLimit
)

// soakPeakUsage is the highest resource usage of the processes of a seed.
type soakPeakUsage struct {
	residentMB  int
	descriptors int
	goroutines  int // counted only for processes that were ended with a dump
}

// String implements fmt.Stringer.
func (p soakPeakUsage) String() string {
	return fmt.Sprintf("at most %d MB, %d descriptors, %d goroutines", p.residentMB, p.descriptors, p.goroutines)
}

// checkResources checks the memory and descriptors of the present process.
func (n *soakNode) checkResources() {
	n.mu.Lock()
	pid := n.cmd.Process.Pid
	n.mu.Unlock()
	resident, err := residentMB(pid)
	if err != nil {
		n.env.t.Error(err)
		return
	}
	descriptors, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		n.env.t.Error(err)
		return
	}
	n.peak.residentMB = max(n.peak.residentMB, resident)
	n.peak.descriptors = max(n.peak.descriptors, len(descriptors))
	n.env.recordEvent("the process holds %d MB and %d descriptors", resident, len(descriptors))
	if resident > soakMemoryLimitMB || len(descriptors) > soakSocketLimit {
		n.env.recordViolation(violationResources, "the process holds %d MB and %d descriptors", resident, len(descriptors))
	}
}

// residentMB returns the resident memory of a process in MiB.
func residentMB(pid int) (int, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(text)) {
		if fields := strings.Fields(line); len(fields) == 3 && fields[0] == "VmRSS:" {
			residentKiB, err := strconv.Atoi(fields[1])
			return residentKiB >> 10, err
		}
	}
	return 0, fmt.Errorf("/proc/%d/status has no VmRSS line", pid)
}
