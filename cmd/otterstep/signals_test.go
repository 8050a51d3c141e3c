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
type signalled struct {
	t         *testing.T
	discovery *standin.Discovery
	addr      string
	config    string
	cmd       *exec.Cmd
	ended     chan error
	stderr    processLog
	client    http.Client
}

// startSignalled starts the program with a known list, which one of its modes follows.
func startSignalled(t *testing.T, mode string, lines ...standin.Entry) *signalled {
	t.Helper()
	p := &signalled{
		t: t, discovery: standin.NewDiscovery(lines), addr: freeAddress(t), ended: make(chan error, 1),
		client: http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}},
	}
	t.Cleanup(p.discovery.Close)
	p.configure(mode, p.discovery.Addr())
	return p
}

// configure writes the configuration.
func (p *signalled) configure(mode, discovery string) {
	p.config = configFile(p.t, func(c map[string]any) {
		c["listen"], c["discovery"], c["known"] = p.addr, discovery, p.discovery.KnownList()
		c["settings"] = map[string]any{
			"Balancers": 8, "Me": 0, "RegistryMode": mode, "Zones": []string{"a"},
			"Classes":  []any{map[string]any{"Name": "read", "DeadlineMs": 2500, "PromiseMs": 1000, "Effect": "pure"}},
			"Contract": map[string]any{"MustAskInMs": 10000, "DrainGraceMs": 300},
			"Limits":   map[string]any{"MaxAttempts": 2},
		}
	})
}

func (p *signalled) start() {
	p.t.Helper()
	p.cmd = program(p.config)
	p.cmd.Stderr = &p.stderr
	if err := p.cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	go func() { p.ended <- p.cmd.Wait() }()
	p.t.Cleanup(func() {
		p.cmd.Process.Kill()
		p.client.CloseIdleConnections()
		if p.t.Failed() {
			p.t.Logf("the log: %s", &p.stderr)
		}
	})
}

// status waits until the node says at /up whether it is ready, as wanted.
func (p *signalled) status(want int) {
	p.t.Helper()
	for end := time.Now().Add(readyWithin); ; time.Sleep(2 * time.Millisecond) {
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
func (p *signalled) endsWell(within time.Duration) {
	p.t.Helper()
	select {
	case err := <-p.ended:
		if err != nil {
			p.t.Errorf("it ends with %v, want exit code 0", err)
		}
	case <-time.After(within):
		p.t.Error("it does not end")
	}
}

func echo(w http.ResponseWriter, r *http.Request) {
	io.WriteString(w, r.Header.Get("X-Correlation-Id"))
}

// A new configuration that comes before the node is ready is taken: it gets ready by the address that this
// one names, where the first one says nothing.
func TestNewConfigurationDuringAStart(t *testing.T) {
	t.Parallel()
	server := startServer(t, http.HandlerFunc(echo))
	listed := line("s1", server, standin.InService)
	for _, mode := range []string{"on_request", "pushed"} {
		t.Run(mode, func(t *testing.T) {
			t.Parallel()
			p := startSignalled(t, mode, listed)
			p.discovery.SetFault(standin.NoAnswer)
			other := standin.NewDiscovery([]standin.Entry{listed})
			t.Cleanup(other.Close)
			p.start()
			p.status(http.StatusServiceUnavailable)
			first := p.config
			p.configure(mode, other.Addr())
			if err := os.Rename(p.config, first); err != nil {
				t.Fatal(err)
			}
			began := time.Now()
			p.cmd.Process.Signal(syscall.SIGHUP)
			p.status(http.StatusOK)
			if took := time.Since(began); took > maxAddressChangeDelay || other.CallCount() == 0 {
				t.Errorf("ready %v after the new configuration, %d calls to the address that it names", took, other.CallCount())
			}
			if !ask(&p.client, p.addr, 1) {
				t.Error("a request is not served")
			}
		})
	}
}

// Signals that come behind the one that ends the node change nothing of how it ends, and one that came
// before with half a configuration does not keep it.
func TestSignalsInSeriesEndTheNodeWell(t *testing.T) {
	t.Parallel()
	server := startServer(t, http.HandlerFunc(echo))
	listed := line("s1", server, standin.InService)
	for name, series := range map[string][]os.Signal{
		"SIGTERM twice":             {syscall.SIGTERM, syscall.SIGTERM},
		"SIGINT behind SIGTERM":     {syscall.SIGTERM, syscall.SIGINT},
		"SIGHUP behind SIGTERM":     {syscall.SIGTERM, syscall.SIGHUP, syscall.SIGHUP},
		"SIGTERM during a reload":   {syscall.SIGHUP, syscall.SIGTERM},
		"SIGTERM amid many reloads": {syscall.SIGHUP, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := startSignalled(t, "on_request", listed)
			p.start()
			p.status(http.StatusOK)
			if err := os.Truncate(p.config, 40); err != nil {
				t.Fatal(err)
			}
			for i, s := range series {
				p.cmd.Process.Signal(s)
				if !ask(&p.client, p.addr, i) { // on the open connection; it also lets the signal be handled
					t.Errorf("request %d is not served", i)
				}
			}
			p.client.CloseIdleConnections()
			p.endsWell(2500*time.Millisecond + 700*time.Millisecond + soakSchedulingSlack)
		})
	}
}

// A node that was told to end follows its list up to the end: requests on connections that stay open do not
// go to a server that leaves meanwhile, also where discovery fails at first.
func TestDrainingNodeFollowsItsList(t *testing.T) {
	for _, fault := range []struct {
		name  string
		fault standin.Fault
	}{{"well", nil}, {"refuses at first", standin.Unavailable}, {"says nothing at first", standin.NoAnswer}} {
		t.Run(fault.name, func(t *testing.T) {
			t.Parallel()
			var missent atomic.Int64
			var left atomic.Bool
			leaves := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if left.Load() {
					missent.Add(1)
				}
				echo(w, r)
			}))
			stays := startServer(t, http.HandlerFunc(echo))
			var lines []standin.Entry
			for i := range 8 {
				lines = append(lines, line(fmt.Sprint("leaves-", i), leaves, standin.InService))
			}
			p := startSignalled(t, "pushed", append(lines, line("stays", stays, standin.InService))...)
			p.start()
			p.status(http.StatusOK)
			p.cmd.Process.Signal(syscall.SIGTERM)
			p.discovery.SetFault(fault.fault)
			for i := range lines {
				lines[i].State = standin.Terminating
			}
			p.discovery.Change(lines...)
			for i, until := 0, time.Now().Add(400*time.Millisecond); time.Now().Before(until); i++ {
				ask(&p.client, p.addr, i) // one whose attempt is withdrawn as its server leaves may be refused
			}
			p.discovery.SetFault(nil)
			told := time.Now().Add(drainGrace + soakSchedulingSlack)
			served := 0
			for i := 1_000_000; time.Now().Before(told.Add(time.Second)); i++ { // an id is taken once
				left.Store(time.Now().After(told))
				if ask(&p.client, p.addr, i) && left.Load() {
					served++
				}
			}
			if missent.Load() > 0 || served == 0 {
				t.Errorf("%d requests went to servers that had left, %d were served after that", missent.Load(), served)
			}
			p.client.CloseIdleConnections()
			p.endsWell(4 * time.Second)
		})
	}
}
