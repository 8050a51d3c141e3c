package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// TestMain runs the program instead of the tests where OTTERSTEP_MAIN is 1, so that tests can start the test
// binary as the program.
func TestMain(m *testing.M) {
	if os.Getenv("OTTERSTEP_MAIN") == "1" {
		main()
		return
	}
	os.Exit(m.Run())
}

// programCommand returns a command that runs the program with a configuration file.
func programCommand(configPath string) *exec.Cmd {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "OTTERSTEP_MAIN=1", "PROXY_CONFIG="+configPath)
	return cmd
}

// writeConfig writes a configuration for one class of requests, changed by the given function, to a temporary
// file and returns its path.
func writeConfig(t *testing.T, change func(map[string]any)) string {
	t.Helper()
	config := map[string]any{
		"name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known":  map[string]any{"rev": 1, "all": true, "targets": []any{}},
		"settings": map[string]any{
			"Classes": []any{map[string]any{"Name": "book", "DeadlineMs": 2000, "Effect": "side_effect"}},
			"Limits":  map[string]any{"MaxAttempts": 2},
		},
	}
	change(config)
	text, err := json.Marshal(config)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// TestInvalidConfigurationGivesOneErrorLine guards against starting with an invalid configuration, and against an
// error that does not fit on one line or does not name the setting that is wrong.
func TestInvalidConfigurationGivesOneErrorLine(t *testing.T) {
	malformedPath := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(malformedPath, []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	for name, testCase := range map[string]struct{ path, wantText string }{
		"no path":      {"", "PROXY_CONFIG"},
		"no file":      {filepath.Join(t.TempDir(), "none.json"), "none.json"},
		"invalid JSON": {malformedPath, "JSON"},
		"listen":       {writeConfig(t, func(c map[string]any) { c["listen"] = "nowhere" }), "listen"},
		"discovery":    {writeConfig(t, func(c map[string]any) { delete(c, "discovery") }), "discovery"},
		"seed":         {writeConfig(t, func(c map[string]any) { c["seed"] = "xyz" }), "seed"},
		"sockets":      {writeConfig(t, func(c map[string]any) { c["limits"] = map[string]any{"sockets": 3} }), "sockets"},
		"settings":     {writeConfig(t, func(c map[string]any) { delete(c, "settings") }), "settings"},
		"deadline": {writeConfig(t, func(c map[string]any) {
			c["settings"] = map[string]any{"Classes": []any{map[string]any{"Name": "a", "DeadlineMs": -5}}}
		}), "Deadline"},
		"address": {writeConfig(t, func(c map[string]any) { c["listen"] = "127.0.0.1:99999" }), "listen"},
	} {
		var stderr bytes.Buffer
		cmd := programCommand(testCase.path)
		cmd.Stderr = &stderr
		err := cmd.Run()
		var exit *exec.ExitError
		if !errors.As(err, &exit) || exit.ExitCode() <= 0 {
			t.Errorf("%s: the program ended with %v, want a non-zero exit code", name, err)
		}
		if text := stderr.String(); strings.Count(text, "\n") != 1 || !strings.Contains(text, testCase.wantText) {
			t.Errorf("%s: stderr is %q, want one line that contains %s", name, text, testCase.wantText)
		}
	}
}

// unchangingDiscovery returns a discovery service whose list has one server, and never changes.
func unchangingDiscovery(server net.Addr) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Has("since") {
			select {
			case <-r.Context().Done():
			case <-time.After(time.Second):
			}
			io.WriteString(w, `{"rev":1,"all":false,"targets":[]}`)
			return
		}
		fmt.Fprintf(w, `{"rev":1,"all":true,"targets":[{"uid":"s1","endpoint":%q,"state":"in_service","capacity_hint":1}]}`, server)
	}
}

// TestSignalsUnderLoadLoseNoRequest guards the rule that no request is lost, during a reload and a planned restart
// under load: each connection that arrives before the node stops accepting gets its complete answer, and the program
// exits with code 0.
func TestSignalsUnderLoadLoseNoRequest(t *testing.T) {
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(100 * time.Millisecond)
		io.WriteString(w, r.Header.Get("X-Correlation-Id"))
	}))
	defer backend.Close()
	discovery := httptest.NewServer(unchangingDiscovery(backend.Listener.Addr()))
	defer discovery.Close()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := listener.Addr().String()
	listener.Close()

	var stderr bytes.Buffer
	cmd := programCommand(writeConfig(t, func(c map[string]any) {
		c["listen"], c["discovery"] = addr, discovery.Listener.Addr().String()
	}))
	cmd.Stderr = &stderr
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	exited := make(chan error, 1)
	go func() { exited <- cmd.Wait() }()
	defer cmd.Process.Kill()
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for start := time.Now(); ; time.Sleep(5 * time.Millisecond) {
		if resp, err := client.Get("http://" + addr + "/up"); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				break
			}
		}
		if time.Since(start) > 20*time.Second {
			t.Fatalf("the node is not ready after 20 s: %s", &stderr)
		}
	}

	var clients sync.WaitGroup
	var answered, answeredAtSIGTERM atomic.Int64
	stop := make(chan struct{})
	for clientIndex := range 8 {
		clients.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				id := fmt.Sprintf("%d-%d", clientIndex, i)
				r, _ := http.NewRequest(http.MethodPost, "http://"+addr+"/book/x", strings.NewReader("b"))
				for name, value := range map[string]string{
					"X-Correlation-Id": id, "X-Service-Class": "book", "X-Time-Left": "2.0",
				} {
					r.Header.Set(name, value)
				}
				resp, err := client.Do(r)
				if err != nil {
					t.Errorf("request %s: %v", id, err)
					return
				}
				body, err := io.ReadAll(resp.Body)
				resp.Body.Close()
				if err != nil || resp.StatusCode == http.StatusOK && string(body) != id {
					t.Errorf("request %s: %s, body %q, %v", id, resp.Status, body, err)
				}
				answered.Add(1)
			}
		})
	}
	for answered.Load() < 20 {
		time.Sleep(time.Millisecond)
	}
	// A reload must not end the program, as an uncaught SIGHUP would.
	if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	for answeredAtSIGHUP := answered.Load(); answered.Load() < answeredAtSIGHUP+20 && !t.Failed(); {
		time.Sleep(time.Millisecond)
	}
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	answeredAtSIGTERM.Store(answered.Load())
	time.Sleep(150 * time.Millisecond) // clients keep opening connections meanwhile
	close(stop)
	clients.Wait()
	select {
	case err := <-exited:
		if err != nil {
			t.Errorf("the program ended with %v: %s", err, &stderr)
		}
	case <-time.After(20 * time.Second):
		t.Error("the program has not ended 20 s after SIGTERM")
	}
	if answered.Load() == answeredAtSIGTERM.Load() {
		t.Error("no request was answered after SIGTERM")
	}
}
