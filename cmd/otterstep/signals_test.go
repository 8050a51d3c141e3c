package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"otterstep/internal/standin"
)

// nodeProcess is one process of the program with its own discovery service, its log and a client.
type nodeProcess struct {
	t          *testing.T
	discovery  *standin.Discovery
	addr       string
	configPath string
	cmd        *exec.Cmd
	exited     chan error
	stderr     processLog
	client     http.Client
}

// newNodeProcess starts a discovery service and configures a node with its list as the known list. The mode
// is "pushed" or "on_request". The caller starts the node.
func newNodeProcess(t *testing.T, mode string, entries ...standin.Entry) *nodeProcess {
	t.Helper()
	p := &nodeProcess{
		t: t, discovery: standin.NewDiscovery(entries), addr: freeAddress(t), exited: make(chan error, 1),
		client: http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}},
	}
	t.Cleanup(p.discovery.Close)
	p.configure(mode, p.discovery.Addr())
	return p
}

// configure writes a new configuration file, which names the address of a discovery service.
func (p *nodeProcess) configure(mode, discoveryAddr string) {
	p.configPath = writeConfig(p.t, func(c map[string]any) {
		c["listen"], c["discovery"], c["known"] = p.addr, discoveryAddr, p.discovery.KnownList()
		c["settings"] = map[string]any{
			"Balancers": 8, "Me": 0, "RegistryMode": mode, "Zones": []string{"a"},
			"Classes":  []any{map[string]any{"Name": "read", "DeadlineMs": 2500, "PromiseMs": 1000, "Effect": "pure"}},
			"Contract": map[string]any{"MustAskInMs": 10000, "DrainGraceMs": 300},
			"Limits":   map[string]any{"MaxAttempts": 2},
		}
	})
}

// start starts the process.
func (p *nodeProcess) start() {
	p.t.Helper()
	p.cmd = programCommand(p.configPath)
	p.cmd.Stderr = &p.stderr
	if err := p.cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	go func() { p.exited <- p.cmd.Wait() }()
	p.t.Cleanup(func() {
		p.cmd.Process.Kill()
		p.client.CloseIdleConnections()
		if p.t.Failed() {
			p.t.Logf("the node's log: %s", &p.stderr)
		}
	})
}

// awaitStatus waits until the node answers requests to /up with the wanted status code.
func (p *nodeProcess) awaitStatus(want int) {
	p.t.Helper()
	for end := time.Now().Add(readyTimeout); ; time.Sleep(2 * time.Millisecond) {
		if resp, err := p.client.Get("http://" + p.addr + "/up"); err == nil {
			resp.Body.Close()
			if resp.StatusCode == want {
				return
			}
		}
		if time.Now().After(end) {
			p.t.Fatalf("/up does not answer %d in time", want)
		}
	}
}

// awaitCleanExit waits until the process exits and checks that its exit code is 0.
func (p *nodeProcess) awaitCleanExit(timeout time.Duration) {
	p.t.Helper()
	select {
	case err := <-p.exited:
		if err != nil {
			p.t.Errorf("the program ended with %v, want exit code 0", err)
		}
	case <-time.After(timeout):
		p.t.Error("the program has not ended in time")
	}
}

// echoCorrelationID answers a request with its correlation id.
func echoCorrelationID(w http.ResponseWriter, r *http.Request) {
	io.WriteString(w, r.Header.Get("X-Correlation-Id"))
}

// TestNewConfigurationDuringAStartIsApplied guards against ignoring a configuration that is reloaded before the node
// is ready: where discovery never answers at the first address, the node has to become ready with the address of the
// new configuration.
func TestNewConfigurationDuringAStartIsApplied(t *testing.T) {
	t.Parallel()
	server := startServer(t, http.HandlerFunc(echoCorrelationID))
	entry := newEntry("s1", server, standin.InService)
	for _, mode := range []string{"on_request", "pushed"} {
		t.Run(mode, func(t *testing.T) {
			t.Parallel()
			p := newNodeProcess(t, mode, entry)
			p.discovery.SetFault(standin.NoAnswer)
			otherDiscovery := standin.NewDiscovery([]standin.Entry{entry})
			t.Cleanup(otherDiscovery.Close)
			p.start()
			p.awaitStatus(http.StatusServiceUnavailable)
			originalPath := p.configPath
			p.configure(mode, otherDiscovery.Addr())
			if err := os.Rename(p.configPath, originalPath); err != nil {
				t.Fatal(err)
			}
			signalledAt := time.Now()
			p.cmd.Process.Signal(syscall.SIGHUP)
			p.awaitStatus(http.StatusOK)
			if took := time.Since(signalledAt); took > maxAddressChangeDelay || otherDiscovery.CallCount() == 0 {
				t.Errorf("the node was ready %v after the new configuration, with %d calls to the address that it names",
					took, otherDiscovery.CallCount())
			}
			if !sendRequest(&p.client, p.addr, 1) {
				t.Error("a request is not served")
			}
		})
	}
}

// TestSignalsInSeriesEndTheNodeCleanly guards against a shutdown that other signals disturb: signals after the first
// SIGTERM or SIGINT must not change how the node ends, and an earlier reload, which fails because the file is
// truncated, must not delay the end.
func TestSignalsInSeriesEndTheNodeCleanly(t *testing.T) {
	t.Parallel()
	server := startServer(t, http.HandlerFunc(echoCorrelationID))
	entry := newEntry("s1", server, standin.InService)
	for name, signals := range map[string][]os.Signal{
		"SIGTERM twice":             {syscall.SIGTERM, syscall.SIGTERM},
		"SIGINT after SIGTERM":      {syscall.SIGTERM, syscall.SIGINT},
		"SIGHUP after SIGTERM":      {syscall.SIGTERM, syscall.SIGHUP, syscall.SIGHUP},
		"SIGTERM during a reload":   {syscall.SIGHUP, syscall.SIGTERM},
		"SIGTERM amid many reloads": {syscall.SIGHUP, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newNodeProcess(t, "on_request", entry)
			p.start()
			p.awaitStatus(http.StatusOK)
			if err := os.Truncate(p.configPath, 40); err != nil {
				t.Fatal(err)
			}
			for i, sig := range signals {
				p.cmd.Process.Signal(sig)
				// The request uses the open connection, and gives the node time to handle the signal.
				if !sendRequest(&p.client, p.addr, i) {
					t.Errorf("request %d is not served", i)
				}
			}
			p.client.CloseIdleConnections()
			p.awaitCleanExit(2500*time.Millisecond + 700*time.Millisecond + soakSchedulingSlack)
		})
	}
}

// TestDrainingNodeFollowsItsList guards against a draining node that stops following its list: requests on
// connections that stay open must not go to servers that leave during the drain, even if discovery fails at the
// beginning of the drain.
func TestDrainingNodeFollowsItsList(t *testing.T) {
	for _, testCase := range []struct {
		name  string
		fault standin.Fault
	}{
		{"discovery answers", nil},
		{"discovery answers 503 at first", standin.Unavailable},
		{"discovery gives no answer at first", standin.NoAnswer},
	} {
		t.Run(testCase.name, func(t *testing.T) {
			t.Parallel()
			var misrouted atomic.Int64
			var graceOver atomic.Bool
			leavingAddr := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if graceOver.Load() {
					misrouted.Add(1)
				}
				echoCorrelationID(w, r)
			}))
			stayingAddr := startServer(t, http.HandlerFunc(echoCorrelationID))
			var leavingEntries []standin.Entry
			for i := range 8 {
				leavingEntries = append(leavingEntries, newEntry(fmt.Sprint("leaves-", i), leavingAddr, standin.InService))
			}
			p := newNodeProcess(t, "pushed", append(leavingEntries, newEntry("stays", stayingAddr, standin.InService))...)
			p.start()
			p.awaitStatus(http.StatusOK)
			p.cmd.Process.Signal(syscall.SIGTERM)
			p.discovery.SetFault(testCase.fault)
			for i := range leavingEntries {
				leavingEntries[i].State = standin.Terminating
			}
			p.discovery.Change(leavingEntries...)
			for i, until := 0, time.Now().Add(400*time.Millisecond); time.Now().Before(until); i++ {
				sendRequest(&p.client, p.addr, i) // may be refused: an unsent attempt is cancelled when its server leaves
			}
			p.discovery.SetFault(nil)
			graceEnd := time.Now().Add(drainGrace + soakSchedulingSlack)
			served := 0
			// The ids differ from those above, because the node accepts an id only once.
			for i := 1_000_000; time.Now().Before(graceEnd.Add(time.Second)); i++ {
				graceOver.Store(time.Now().After(graceEnd))
				if sendRequest(&p.client, p.addr, i) && graceOver.Load() {
					served++
				}
			}
			if misrouted.Load() > 0 || served == 0 {
				t.Errorf("after the drain grace %d requests went to servers that had left, %d were served; want 0 and more than 0",
					misrouted.Load(), served)
			}
			p.client.CloseIdleConnections()
			p.awaitCleanExit(4 * time.Second)
		})
	}
}
