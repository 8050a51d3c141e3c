package main

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"os"
	"os/exec"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"otterstep/internal/standin"
)

// drainViolationMessage is part of the message that a node logs when it finds that it has sent to a server past
// the drain grace.
const drainViolationMessage = "drain violation"

// soakNode runs the program as one process after another and records what clients may do with it.
type soakNode struct {
	env        *soakEnvironment
	configPath string
	addr       string

	mu          sync.Mutex
	cmd         *exec.Cmd
	exited      chan error
	log         processLog
	mayConnect  bool // whether clients may open connections
	mayUseConns bool // whether clients may use the connections that they have
	killCount   int  // number of processes that were ended without a drain
	settings    map[string]any

	lastPauseEnd time.Time     // end of the latest suspension
	pauseOverrun time.Duration // time by which the latest suspension exceeded soakPauseDuration

	peak soakPeakUsage // used by the timeline only
}

// writeConfig replaces the configuration file atomically.
func (n *soakNode) writeConfig(discoveryAddr string, knownList standin.List) {
	text, err := json.Marshal(map[string]any{
		"name": "n0", "listen": n.addr, "discovery": discoveryAddr, "seed": "8c1f30d27a5be964", "known": knownList,
		"limits":   map[string]any{"cores": 1.0, "memory_mb": soakMemoryLimitMB, "sockets": soakSocketLimit},
		"settings": n.settings,
	})
	if err == nil {
		err = errors.Join(os.WriteFile(n.configPath+".new", text, 0o600), os.Rename(n.configPath+".new", n.configPath))
	}
	if err != nil {
		n.env.t.Error(err)
	}
}

// start starts the program with a known list, sends it the signals once it answers, and waits until it is ready.
func (n *soakNode) start(knownList standin.List, signalsDuringStart ...os.Signal) {
	n.writeConfig(n.env.configuredAddress().link.Addr(), knownList)
	n.env.recordProcessStart(knownList)
	cmd := programCommand(n.configPath)
	cmd.Stderr = &n.log
	if err := cmd.Start(); err != nil {
		n.env.t.Error(err)
		return
	}
	exited := make(chan error, 1)
	go func() { exited <- cmd.Wait() }()
	n.mu.Lock()
	n.cmd, n.exited = cmd, exited
	n.mu.Unlock()
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
	isListening := false
	for startedAt := time.Now(); ; time.Sleep(5 * time.Millisecond) {
		if resp, err := client.Get("http://" + n.addr + "/up"); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				break
			}
			if !isListening { // the process handles signals from now on
				isListening = true
				for _, sig := range signalsDuringStart {
					n.signal(sig)
				}
			}
		}
		if time.Since(startedAt) > readyTimeout+soakSchedulingSlack {
			n.env.recordViolation(violationProcess, "not ready within %v", readyTimeout)
			break
		}
	}
	n.setClientAccess(true, true)
}

// setClientAccess sets whether clients may open connections and use those that they have.
func (n *soakNode) setClientAccess(mayConnect, mayUseConns bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.mayConnect, n.mayUseConns = mayConnect, mayUseConns
}

// signal sends a signal to the process.
func (n *soakNode) signal(sig os.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cmd.Process.Signal(sig)
}

// pause suspends the process for as long as the rules allow, on a busy machine perhaps longer.
func (n *soakNode) pause() {
	startedAt := time.Now()
	n.signal(syscall.SIGSTOP)
	time.Sleep(soakPauseDuration)
	n.signal(syscall.SIGCONT)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lastPauseEnd = time.Now()
	n.pauseOverrun = n.lastPauseEnd.Sub(startedAt) - soakPauseDuration
}

// pauseOverrunSince returns the time by which the latest suspension was too long, zero if it ended before since.
func (n *soakNode) pauseOverrunSince(since time.Time) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.lastPauseEnd.Before(since) {
		return 0
	}
	return n.pauseOverrun
}

// kill ends the process at once. The loss of open requests is no violation then.
func (n *soakNode) kill() { n.endAtOnce(os.Kill) }

// dumpGoroutines ends the process at once, has it dump its goroutines into its log, and checks their number.
func (n *soakNode) dumpGoroutines() {
	n.endAtOnce(syscall.SIGQUIT)
	count := n.log.removeGoroutineDump()
	n.peak.goroutines = max(n.peak.goroutines, count)
	n.env.recordEvent("the process has %d goroutines", count)
	if count == 0 || count > soakGoroutineLimit {
		n.env.recordViolation(violationResources, "the process has %d goroutines", count)
	}
}

// endAtOnce ends the process with a signal that it does not handle.
func (n *soakNode) endAtOnce(sig os.Signal) {
	n.mu.Lock()
	n.mayConnect, n.mayUseConns = false, false
	n.killCount++
	n.mu.Unlock()
	n.signal(sig)
	<-n.exited
}

// terminate ends the process as a planned restart does, with SIGTERM and further signals. Clients open
// connections for 0.3 s more and use those that they have until the kill. The kill comes as early as the rules
// allow; it is delayed by the time by which a suspension of the process was too long.
func (n *soakNode) terminate(furtherSignals ...os.Signal) {
	signalledAt := time.Now()
	n.signal(syscall.SIGTERM)
	for _, sig := range furtherSignals {
		time.Sleep(20 * time.Millisecond)
		n.signal(sig)
	}
	time.Sleep(time.Until(signalledAt.Add(300 * time.Millisecond)))
	n.setClientAccess(false, true)
	select {
	case err := <-n.exited:
		if err != nil {
			n.env.recordViolation(violationProcess, "the process ended after SIGTERM with %v", err)
		}
	case <-time.After(time.Until(signalledAt.Add(minKillDelay))):
		time.Sleep(n.pauseOverrunSince(signalledAt))
		n.signal(os.Kill)
		<-n.exited
	}
	n.setClientAccess(false, false)
}

// clientAccess returns whether clients may open connections and use those that they have, and the number of
// processes that were ended without a drain.
func (n *soakNode) clientAccess() (mayConnect, mayUseConns bool, killCount int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.mayConnect, n.mayUseConns, n.killCount
}

// holdSilentConns holds connections that send nothing, and replaces them one after the other.
func (n *soakNode) holdSilentConns(ctx context.Context) {
	conns := make([]net.Conn, soakSilentConnCount)
	defer func() {
		for _, conn := range conns {
			if conn != nil {
				conn.Close()
			}
		}
	}()
	for i := 0; ctx.Err() == nil; i = (i + 1) % len(conns) {
		time.Sleep(2 * time.Millisecond)
		if mayConnect, _, _ := n.clientAccess(); !mayConnect {
			continue
		}
		if conns[i] != nil {
			conns[i].Close()
		}
		conns[i], _ = net.DialTimeout("tcp", n.addr, time.Second)
	}
}

// listOverdueMessage is part of the message that a node logs when its list is older than the rules allow.
const listOverdueMessage = "the list is overdue"

// checkLog checks what the processes have logged. It is called after their end.
func (n *soakNode) checkLog() {
	n.checkListOverdue()
	for line := range strings.Lines(n.log.String()) {
		if strings.Contains(line, drainViolationMessage) && strings.Contains(line, "level=ERROR") {
			n.env.recordViolation(violationLogged, "the node logged: %s", strings.TrimSpace(line))
		}
	}
}

// checkListOverdue checks that the list of a node in a small fleet was overdue only while discovery could not be
// reached, or within the time that the rules allow after the end of an outage or the start of a process.
func (n *soakNode) checkListOverdue() {
	env := n.env
	if env.isPushed || env.fleetSize > soakSmallFleetMaxNodes {
		return
	}
	const excuseDuration = maxListAge + drainGrace + soakSchedulingSlack
	for line := range strings.Lines(n.log.String()) {
		if !strings.Contains(line, listOverdueMessage) {
			continue
		}
		timestamp, _, _ := strings.Cut(strings.TrimPrefix(line, "time="), " ")
		loggedAt, err := time.Parse(time.RFC3339Nano, timestamp)
		if err != nil {
			env.t.Errorf("log line without a valid time: %s", line)
			continue
		}
		isExcused := slices.ContainsFunc(env.pastOutages, func(outage soakOutage) bool {
			return outage.from.Before(loggedAt) && outage.to.Add(excuseDuration).After(loggedAt)
		}) || slices.ContainsFunc(env.processStarts, func(startedAt time.Time) bool {
			return startedAt.Before(loggedAt) && startedAt.Add(excuseDuration).After(loggedAt)
		})
		if !isExcused {
			env.recordViolation(violationOverdue, "discovery could be reached, but the node logged: %s", strings.TrimSpace(line))
		}
	}
}
