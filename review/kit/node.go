package kit

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Class is a class of requests in the settings.
type Class struct {
	Name       string
	Effect     string // pure, token or side_effect
	DeadlineMs float64
	PromiseMs  float64
	Worth      float64
}

// BillingClasses are the classes of the deployment billing-casa.
var BillingClasses = []Class{
	{"bill-view", "pure", 1000, 400, 2},
	{"credit-post", "side_effect", 2000, 500, 5},
	{"payment", "token", 1500, 600, 5},
}

// Zones are the zones of the deployment billing-casa.
var Zones = []string{"casablanca", "rabat"}

// Settings returns the settings of node me of a small deployment with the figures of billing-casa.
func Settings(me, nodes int) map[string]any {
	classes := []any{}
	for _, c := range BillingClasses {
		entry := map[string]any{
			"Name": c.Name, "Effect": c.Effect, "DeadlineMs": c.DeadlineMs, "PromiseMs": c.PromiseMs, "Importance": c.Worth,
			"LateWorth": 0.0, "Streaming": false, "DedupScope": "all", "KeyTtlMs": 5000.0,
		}
		if c.Effect == "token" {
			entry["DedupScope"], entry["KeyTtlMs"] = "zone", 1500.0
		}
		classes = append(classes, entry)
	}
	return map[string]any{
		"Accounts": []any{}, "Balancers": nodes, "Classes": classes,
		"Clients": map[string]any{"MarksRetry": false},
		"Contract": map[string]any{"ColdFrom": 0.12, "ColdMs": 24000.0, "DrainGraceMs": 300.0, "FallMs": 2000.0,
			"FallMultiple": 2.5, "GraceToAnswerMs": 20.0, "MustAskInMs": 10000.0},
		"CountedBy": "work",
		"Deductions": map[string]any{"Connection": 0.0, "CrossZone": 0.03, "Handshake": 0.0, "LateFail": 0.054, "Moves": 0.0,
			"Origin": 0.0, "Peer": 0.01, "Probe": 0.01, "RegistryMode": 0.02, "Waste": 0.04},
		"Extra": map[string]any{"WarmKeys": false},
		"Goal":  map[string]any{"Whole": 0.35, "WorstClass": 0.2, "WorstTenant": 0.0, "WorstWindow": 0.45},
		"Kinds": []string{"fast-2c", "slow-2c"}, "Layers": []string{"billing-web"},
		"Limits": map[string]any{"Cancel": true, "ConnIdleMs": 30000.0, "ConnectTimeoutMs": 120.0, "CpuUsPerRequest": 0.0,
			"CpuUsPerS": 8733, "MaxAttempts": 4, "MaxOpen": 21833, "MaxRetryAfterMs": 2000.0, "PeerMessages": true,
			"Probes": true, "RetryAfter": true, "SecondCopies": true, "StreamsPerConn": 1},
		"Locality": me % len(Zones), "Me": me, "OverShareWorth": 0.1, "RegistryMode": "on_request",
		"Reporting": map[string]any{"Columns": []string{"inflight", "queue"}, "How": "pull"},
		"TickMs":    5.0, "Tier": 0, "Weights": "nominal", "Workload": "proxy", "Zones": Zones,
	}
}

// Node is a node that runs as a process.
type Node struct {
	Addr    string
	Name    string
	LogPath string
	cmd     *exec.Cmd
	exited  chan struct{}
	err     error
}

// processes are the nodes that were started, for the end of a case that is interrupted.
var processes struct {
	sync.Mutex
	started []*Node
}

// killAll ends all nodes that were started, at once. None is started any more.
func killAll() {
	processes.Lock() // stays locked
	for _, n := range processes.started {
		n.Signal(syscall.SIGKILL)
	}
	for _, n := range processes.started {
		<-n.exited
	}
}

// FreeAddr returns a loopback address with a free port.
func FreeAddr() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// NodeOptions says how a node is started.
type NodeOptions struct {
	Root, Run string // the repository and the command run of its deploy file
	Dir       string // temporary folder
	Index     int
	Discovery string
	Known     List
	Settings  map[string]any
	MemoryMB  int
	Sockets   int
	LogLevel  string
}

// StartNode starts a node with the command of the deploy file, and waits until it is ready.
func StartNode(o NodeOptions) (*Node, error) {
	addr, err := FreeAddr()
	if err != nil {
		return nil, err
	}
	n := &Node{Addr: addr, Name: fmt.Sprintf("n%d", o.Index), exited: make(chan struct{})}
	if o.MemoryMB == 0 {
		o.MemoryMB = 192
	}
	if o.Sockets == 0 {
		o.Sockets = 1024
	}
	config := map[string]any{
		"name": n.Name, "listen": addr, "discovery": o.Discovery, "seed": fmt.Sprintf("%016x", 0x8c1f30d27a5be964+uint64(o.Index)),
		"limits":      map[string]any{"cores": 1.0, "memory_mb": o.MemoryMB, "sockets": o.Sockets},
		"peer_listen": addr, "peers": []string{}, "known": o.Known, "settings": o.Settings,
	}
	text, err := json.MarshalIndent(config, "", " ")
	if err != nil {
		return nil, err
	}
	configPath := filepath.Join(o.Dir, n.Name+".json")
	if err := os.WriteFile(configPath, text, 0o600); err != nil {
		return nil, err
	}
	n.LogPath = filepath.Join(o.Dir, n.Name+".log")
	logFile, err := os.Create(n.LogPath)
	if err != nil {
		return nil, err
	}
	defer logFile.Close()
	n.cmd = exec.Command("/bin/sh", "-c", o.Run)
	n.cmd.Dir = o.Root
	n.cmd.Env = append(os.Environ(), "PROXY_NAME="+n.Name, "PROXY_LISTEN="+addr, "PROXY_DISCOVERY="+o.Discovery,
		"PROXY_CONFIG="+configPath, "OTTERSTEP_LOG_LEVEL="+o.LogLevel)
	n.cmd.Stdout, n.cmd.Stderr = logFile, logFile
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	processes.Lock()
	err = n.cmd.Start()
	if err == nil {
		processes.started = append(processes.started, n)
	}
	processes.Unlock()
	if err != nil {
		return nil, err
	}
	go func() {
		n.err = n.cmd.Wait()
		close(n.exited)
	}()
	for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if n.HasExited() {
			return nil, fmt.Errorf("%s exited at its start: %v", n.Name, n.err)
		}
		client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
		if response, err := client.Get("http://" + addr + "/up"); err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return n, nil
			}
		}
	}
	n.Stop()
	return nil, errors.New(n.Name + " was not ready within 30 s")
}

// HasExited reports whether the process has ended.
func (n *Node) HasExited() bool {
	select {
	case <-n.exited:
		return true
	default:
		return false
	}
}

// Signal sends a signal to the process.
func (n *Node) Signal(s os.Signal) { n.cmd.Process.Signal(s) }

// Stop ends the process: SIGTERM, and SIGKILL after 5 s.
func (n *Node) Stop() {
	n.Signal(syscall.SIGTERM)
	select {
	case <-n.exited:
	case <-time.After(5 * time.Second):
		n.Signal(syscall.SIGKILL)
		<-n.exited
	}
}
