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

// signalled is the program before a discovery, and what it has said.
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

// startSignalled starts the program with a known list, which one of its modes follows.
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

// configure writes the configuration.
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
			p.t.Logf("the log: %s", &p.stderr)
		}
	})
}

// status waits until the node says at /up whether it is ready, as wanted.
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
			p.t.Fatalf("/up does not say %d", want)
		}
	}
}

// endsWell waits for the end of the program.
func (p *nodeProcess) awaitCleanExit(timeout time.Duration) {
	p.t.Helper()
	select {
	case err := <-p.exited:
		if err != nil {
			p.t.Errorf("it ends with %v, want exit code 0", err)
		}
	case <-time.After(timeout):
		p.t.Error("it does not end")
	}
}

func echoCorrelationID(w http.ResponseWriter, r *http.Request) {
	io.WriteString(w, r.Header.Get("X-Correlation-Id"))
}

// A new configuration that comes before the node is ready is taken: it gets ready by the address that this
// one names, where the first one says nothing.
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
				t.Errorf("ready %v after the new configuration, %d calls to the address that it names", took, otherDiscovery.CallCount())
			}
			if !sendRequest(&p.client, p.addr, 1) {
				t.Error("a request is not served")
			}
		})
	}
}

// Signals that come behind the one that ends the node change nothing of how it ends, and one that came
// before with half a configuration does not keep it.
func TestSignalsInSeriesEndTheNodeCleanly(t *testing.T) {
	t.Parallel()
	server := startServer(t, http.HandlerFunc(echoCorrelationID))
	entry := newEntry("s1", server, standin.InService)
	for name, signals := range map[string][]os.Signal{
		"SIGTERM twice":             {syscall.SIGTERM, syscall.SIGTERM},
		"SIGINT behind SIGTERM":     {syscall.SIGTERM, syscall.SIGINT},
		"SIGHUP behind SIGTERM":     {syscall.SIGTERM, syscall.SIGHUP, syscall.SIGHUP},
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
				if !sendRequest(&p.client, p.addr, i) { // on the open connection; it also lets the signal be handled
					t.Errorf("request %d is not served", i)
				}
			}
			p.client.CloseIdleConnections()
			p.awaitCleanExit(2500*time.Millisecond + 700*time.Millisecond + soakSchedulingSlack)
		})
	}
}

// A node that was told to end follows its list up to the end: requests on connections that stay open do not
// go to a server that leaves meanwhile, also where discovery fails at first.
func TestDrainingNodeFollowsItsList(t *testing.T) {
	for _, testCase := range []struct {
		name  string
		fault standin.Fault
	}{{"well", nil}, {"refuses at first", standin.Unavailable}, {"says nothing at first", standin.NoAnswer}} {
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
				sendRequest(&p.client, p.addr, i) // one whose attempt is withdrawn as its server leaves may be refused
			}
			p.discovery.SetFault(nil)
			graceEnd := time.Now().Add(drainGrace + soakSchedulingSlack)
			served := 0
			for i := 1_000_000; time.Now().Before(graceEnd.Add(time.Second)); i++ { // an id is taken once
				graceOver.Store(time.Now().After(graceEnd))
				if sendRequest(&p.client, p.addr, i) && graceOver.Load() {
					served++
				}
			}
			if misrouted.Load() > 0 || served == 0 {
				t.Errorf("%d requests went to servers that had left, %d were served after that", misrouted.Load(), served)
			}
			p.client.CloseIdleConnections()
			p.awaitCleanExit(4 * time.Second)
		})
	}
}
