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

// drainViolation is the text of the line that a node logs when it finds that it has sent past the grace.
const drainViolationMessage = "drain violation"

// soakNode is the program and what was done to it.
type soakNode struct {
	env        *soakEnvironment
	configPath string
	addr       string

	mu          sync.Mutex
	cmd         *exec.Cmd
	exited      chan error
	log         processLog
	mayConnect  bool // clients may connect
	mayUseConns bool // clients may use the connections that they have
	killCount   int  // of its life, a kill ends it
	settings    map[string]any

	lastPauseEnd time.Time     // the latest hold-up,
	pauseOverrun time.Duration // and by how much it was longer than it was to be

	peak soakPeakUsage // of the timeline alone
}

// write puts the configuration in place in one step.
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

// start starts the program with a list of before and waits until it is ready; signals of a series come
// meanwhile.
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
			if !isListening { // it handles signals from now on
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

func (n *soakNode) setClientAccess(mayConnect, mayUseConns bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.mayConnect, n.mayUseConns = mayConnect, mayUseConns
}

// signal sends the process a signal.
func (n *soakNode) signal(sig os.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cmd.Process.Signal(sig)
}

// pause stops the process for as long as a node may be held up. On a busy machine it may take longer.
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

// overduePause is by how much the process was held up for too long since a time.
func (n *soakNode) pauseOverrunSince(since time.Time) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.lastPauseEnd.Before(since) {
		return 0
	}
	return n.pauseOverrun
}

// kill ends the process at once: what was open is lost, and nobody's fault.
func (n *soakNode) kill() { n.endAtOnce(os.Kill) }

// dump ends the process at once, with its goroutines in its log, and checks their number.
func (n *soakNode) dumpGoroutines() {
	n.endAtOnce(syscall.SIGQUIT)
	count := n.log.removeGoroutineDump()
	n.peak.goroutines = max(n.peak.goroutines, count)
	n.env.recordEvent("%d goroutines", count)
	if count == 0 || count > soakGoroutineLimit {
		n.env.recordViolation(violationResources, "%d goroutines", count)
	}
}

// end ends the process with a signal that it does not handle.
func (n *soakNode) endAtOnce(sig os.Signal) {
	n.mu.Lock()
	n.mayConnect, n.mayUseConns = false, false
	n.killCount++
	n.mu.Unlock()
	n.signal(sig)
	<-n.exited
}

// terminate ends the process as a planned restart does: clients connect for 0.3 s more, use what
// connections they have up to the kill, and the kill comes as early as it may: later by as much as a hold-up
// of the process was longer than one may be.
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
			n.env.recordViolation(violationProcess, "ended after SIGTERM with %v", err)
		}
	case <-time.After(time.Until(signalledAt.Add(minKillDelay))):
		time.Sleep(n.pauseOverrunSince(signalledAt))
		n.signal(os.Kill)
		<-n.exited
	}
	n.setClientAccess(false, false)
}

// life tells whether clients may connect and use connections, and in which life the node is.
func (n *soakNode) clientAccess() (mayConnect, mayUseConns bool, killCount int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.mayConnect, n.mayUseConns, n.killCount
}

// crowd holds connections that say nothing, and makes them anew when they are closed.
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

// listOverdue is the text of the line that a node logs when its list is older than the rules allow.
const listOverdueMessage = "the list is overdue"

// checkLog checks what the processes have logged. They have ended.
func (n *soakNode) checkLog() {
	n.checkListOverdue()
	for line := range strings.Lines(n.log.String()) {
		if strings.Contains(line, drainViolationMessage) && strings.Contains(line, "level=ERROR") {
			n.env.recordViolation(violationLogged, "the node logs: %s", strings.TrimSpace(line))
		}
	}
}

// checkOverdue checks that the list of a node in a small fleet was overdue only where discovery could not be reached,
// or had just been reached again, within the time that the rules allow.
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
			env.t.Errorf("a line of the log has no time: %s", line)
			continue
		}
		isExcused := slices.ContainsFunc(env.pastOutages, func(outage soakOutage) bool {
			return outage.from.Before(loggedAt) && outage.to.Add(excuseDuration).After(loggedAt)
		}) || slices.ContainsFunc(env.processStarts, func(startedAt time.Time) bool {
			return startedAt.Before(loggedAt) && startedAt.Add(excuseDuration).After(loggedAt)
		})
		if !isExcused {
			env.recordViolation(violationOverdue, "discovery could be reached, and the node logs: %s", strings.TrimSpace(line))
		}
	}
}
