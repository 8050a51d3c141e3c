// Package lab2 holds the stand-ins of cases 6 to 10: discovery, billing servers, links and clients, and
// the control of real nodes. All of them stay on loopback addresses.
package lab2

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	Held   = 0 // the rule held
	Broken = 1 // the rule was broken
	NotRun = 2 // the case could not run
)

// Trouble reports whether the case plays its disruption.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Record writes record.txt. It is safe for concurrent use.
type Record struct {
	mu    sync.Mutex
	start time.Time
	file  *bufio.Writer
	close func() error
}

// NewRecord begins the record of a case at a path.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{start: time.Now(), file: bufio.NewWriter(f), close: f.Close}, nil
}

// Log adds a line with the time since the start in seconds.
func (r *Record) Log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.4f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Say adds a line and prints it.
func (r *Record) Say(format string, args ...any) {
	r.Log(format, args...)
	fmt.Printf(format+"\n", args...)
}

// Close ends the record.
func (r *Record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.file.Flush()
	r.close()
}

// Entry is a billing server in a list of discovery.
type Entry struct {
	UID          string  `json:"uid"`
	Endpoint     string  `json:"endpoint"`
	AZ           string  `json:"az"`
	Model        string  `json:"model"`
	PodGroup     int     `json:"pod_group"`
	State        string  `json:"state"`
	CapacityHint float64 `json:"capacity_hint"`
	BootMs       int64   `json:"boot_ms"`
}

// List is a message of discovery.
type List struct {
	Rev     int64   `json:"rev"`
	All     bool    `json:"all"`
	Targets []Entry `json:"targets"`
}

// Discovery is a sound discovery service with watches.
type Discovery struct {
	Addr    string
	mu      sync.Mutex
	rev     int64
	entries map[string]Entry
	changed map[string]int64 // version of the latest change of each entry
	order   []string
	news    chan struct{} // closed at each change
	server  *http.Server
}

// NewDiscovery starts discovery.
func NewDiscovery() (*Discovery, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Discovery{Addr: listener.Addr().String(), rev: 40, entries: map[string]Entry{}, changed: map[string]int64{},
		news: make(chan struct{})}
	d.server = &http.Server{Handler: d}
	go d.server.Serve(listener)
	return d, nil
}

// Close stops discovery.
func (d *Discovery) Close() { d.server.Close() }

// Set puts or changes an entry.
func (d *Discovery) Set(e Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rev++
	if _, known := d.entries[e.UID]; !known {
		d.order = append(d.order, e.UID)
	}
	d.entries[e.UID], d.changed[e.UID] = e, d.rev
	close(d.news)
	d.news = make(chan struct{})
}

// listLocked returns the whole list, or the changes since a version.
func (d *Discovery) listLocked(since int64) List {
	l := List{Rev: d.rev, All: since < 0, Targets: []Entry{}}
	for _, uid := range d.order {
		if e := d.entries[uid]; d.changed[uid] > since && (since >= 0 || e.State != "terminated") {
			l.Targets = append(l.Targets, e)
		}
	}
	return l
}

// Whole returns the whole list.
func (d *Discovery) Whole() List {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.listLocked(-1)
}

// ServeHTTP implements http.Handler.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/discovery/hosts" {
		http.NotFound(w, r)
		return
	}
	since, wait := int64(-1), time.Duration(0)
	if text := r.URL.Query().Get("since"); text != "" {
		since, _ = strconv.ParseInt(text, 10, 64)
		ms, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
		wait = time.Duration(min(ms, 60000)) * time.Millisecond
	}
	expired := time.After(wait)
	for {
		d.mu.Lock()
		list, rev, news := d.listLocked(since), d.rev, d.news
		d.mu.Unlock()
		if since < 0 || rev > since {
			answerJSON(w, list)
			return
		}
		select {
		case <-news:
		case <-expired:
			answerJSON(w, list)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func answerJSON(w http.ResponseWriter, v any) {
	text, _ := json.Marshal(v)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.Write(text)
}

// Settings returns the settings of a node of a small deployment: the example of the page on the wire, for the
// given numbers of nodes and this node's number.
func Settings(nodes, me int) map[string]any {
	class := func(name, effect, scope string, promise, deadline, window, importance float64) map[string]any {
		return map[string]any{"DeadlineMs": deadline, "DedupScope": scope, "Effect": effect, "Importance": importance,
			"KeyTtlMs": window, "LateWorth": 0.0, "Name": name, "PromiseMs": promise, "Streaming": false}
	}
	return map[string]any{
		"Accounts": []any{}, "Balancers": nodes, "Me": me,
		"Classes": []any{
			class("bill-view", "pure", "all", 400, 1000, 5000, 2),
			class("credit-post", "side_effect", "all", 500, 2000, 5000, 5),
			class("payment", "token", "zone", 600, 1500, 1500, 5),
		},
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
		"Locality": 0, "OverShareWorth": 0.1, "RegistryMode": "on_request",
		"Reporting": map[string]any{"Columns": []string{"inflight", "queue"}, "How": "pull"},
		"TickMs":    5.0, "Tier": 0, "Weights": "nominal", "Workload": "proxy", "Zones": []string{"casablanca", "rabat"},
	}
}

// The limits of a node.
var MemoryMB, Sockets = 192, 1024

// Node is a real node, a process of its own.
type Node struct {
	Name, Addr string
	cmd        *exec.Cmd
	log        *os.File
	Exited     chan error // receives the end of the process
	runCommand string
	root       string
	configPath string
	dir        string
}

// FreeAddr returns a free loopback address.
func FreeAddr() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// runCommandOf returns the command `run` of the deploy file.
func runCommandOf(root string) (string, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	for _, line := range strings.Split(string(text), "\n") {
		if rest, found := strings.CutPrefix(line, "run = \""); found {
			command, _, _ := strings.Cut(rest, "\"")
			return command, nil
		}
	}
	return "", errors.New("the deploy file has no run command")
}

// NewNode prepares a node. Its files lie in dir.
func NewNode(root, dir string, nodes, me int, discovery *Discovery) (*Node, error) {
	addr, err := FreeAddr()
	if err != nil {
		return nil, err
	}
	n := &Node{Name: fmt.Sprintf("n%d", me), Addr: addr, root: root, dir: dir}
	if n.runCommand, err = runCommandOf(root); err != nil {
		return nil, err
	}
	config := map[string]any{
		"name": n.Name, "listen": addr, "discovery": discovery.Addr, "seed": fmt.Sprintf("%016x", time.Now().UnixNano()),
		"limits":   map[string]any{"cores": 1.0, "memory_mb": MemoryMB, "sockets": Sockets},
		"known":    discovery.Whole(),
		"settings": Settings(nodes, me),
	}
	text, err := json.Marshal(config)
	if err != nil {
		return nil, err
	}
	n.configPath = filepath.Join(dir, n.Name+".json")
	return n, os.WriteFile(n.configPath, text, 0o600)
}

// starts holds the processes to start.
var starts = sync.OnceValue(func() chan<- func() {
	todo := make(chan func())
	go func() {
		runtime.LockOSThread() // the thread lives as long as this process
		for start := range todo {
			start()
		}
	}()
	return todo
})

// onStarterThread calls start on the one thread that starts all processes: they end with it, whatever becomes of this process.
func onStarterThread(start func() error) error {
	result := make(chan error)
	starts() <- func() { result <- start() }
	return <-result
}

// Start starts the node's process and waits until it is ready.
func (n *Node) Start() error {
	log, err := os.OpenFile(filepath.Join(n.dir, n.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	n.cmd = exec.Command("/bin/sh", "-c", n.runCommand)
	n.cmd.Dir, n.cmd.Stdout, n.cmd.Stderr = n.root, log, log
	n.cmd.Env = append(os.Environ(), "PROXY_NAME="+n.Name, "PROXY_LISTEN="+n.Addr, "PROXY_CONFIG="+n.configPath, "TMPDIR="+n.dir)
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := onStarterThread(n.cmd.Start); err != nil {
		return err
	}
	n.Exited = make(chan error, 1)
	cmd, exited := n.cmd, n.Exited
	go func() { exited <- cmd.Wait(); log.Close() }()
	for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		response, err := http.Get("http://" + n.Addr + "/up")
		if err == nil {
			response.Body.Close()
			if response.StatusCode == 200 {
				return nil
			}
		}
	}
	return errors.New("node " + n.Name + " is not ready after 30 s")
}

// Signal sends a signal to the node's process.
func (n *Node) Signal(s syscall.Signal) { n.cmd.Process.Signal(s) }

// Kill ends the node's process.
func (n *Node) Kill() {
	if n.cmd != nil && n.cmd.Process != nil {
		n.cmd.Process.Kill()
	}
}
