package node

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"
)

// writeConfig writes a configuration with the given address of discovery to the file.
func writeConfig(t *testing.T, path, discovery string) {
	t.Helper()
	text, err := json.Marshal(map[string]any{
		"name": "n0", "listen": "127.0.0.1:0", "discovery": discovery, "seed": "1",
		"limits": map[string]any{"sockets": minSockets}, "settings": json.RawMessage(testSettings),
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
}

// Guards requests against a change of the configuration under load: the watch at the old address ends early, the list
// of the new address replaces the old list, each request is served, and no request goes to a server of the old list
// afterwards. An invalid file changes nothing.
func TestReloadMovesDiscoveryUnderLoad(t *testing.T) {
	s1, s2 := newFakeServer(t, respondWith(okResponse("1"), true)), newFakeServer(t, respondWith(okResponse("2"), true))
	old, next := newFakeDiscovery(t, inServiceEntry(s1, "s1")), newFakeDiscovery(t, inServiceEntry(s2, "s2"))
	for range 5 {
		old.change(inServiceEntry(s1, "s1")) // a version that the other discovery has never had
	}
	hangups := make(chan os.Signal, 1)
	path := filepath.Join(t.TempDir(), "config.json")
	addr, _ := startNodeWith(t, old, ConfigReloader{path, hangups})
	old.awaitSynced(t)

	stop, answers := make(chan struct{}), sync.WaitGroup{}
	for range 4 {
		answers.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				resp, err := http.DefaultClient.Do(newClientRequest(t, addr, "read", "2.5"))
				if err != nil {
					t.Error(err)
					return
				}
				text, err := io.ReadAll(resp.Body)
				resp.Body.Close()
				if err != nil || resp.StatusCode != http.StatusOK || string(text) != "1" && string(text) != "2" {
					t.Errorf("answered %s %q, %v; want 200 from one of the servers", resp.Status, text, err)
					return
				}
			}
		})
	}
	if err := os.WriteFile(path, []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	hangups <- syscall.SIGHUP
	waitFor(t, "receipt of the signal", func() bool { return len(hangups) == 0 })
	old.change(inServiceEntry(s1, "s1"))
	old.awaitSynced(t) // the invalid file did not end the watch

	writeConfig(t, path, next.Listener.Addr().String())
	hangups <- syscall.SIGHUP
	next.awaitSynced(t)
	close(stop)
	answers.Wait()
	before := s1.requests.Load()
	for range 10 {
		if code, _, body := doRequest(t, newClientRequest(t, addr, "read", "2.5")); code != http.StatusOK || body != "2" {
			t.Errorf("answered %d %q, want 200 from the server of the new list", code, body)
		}
	}
	if n := s1.requests.Load(); n != before {
		t.Errorf("%d requests to a server that the new list does not name, want none", n-before)
	}
}

// Guards against changes that are ignored without notice: the log names each changed setting that needs a restart.
func TestReloadSaysWhatTakesARestart(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	writeConfig(t, path, "127.0.0.1:2")
	current, err := LoadConfig(path)
	if err != nil {
		t.Fatal(err)
	}
	current.Listen, current.Discovery = "127.0.0.1:9", "127.0.0.1:1"
	var text bytes.Buffer
	hangups, addrChanges := make(chan os.Signal), make(chan string, 4)
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		ConfigReloader{path, hangups}.run(ctx, current, func(addr string) { addrChanges <- addr },
			slog.New(slog.NewTextHandler(&text, nil)))
	}()
	hangups <- syscall.SIGHUP
	hangups <- syscall.SIGHUP // the same file again changes no address
	stop()
	<-ended
	if len(addrChanges) != 1 || <-addrChanges != "127.0.0.1:2" {
		t.Error("want one change of address, to the new address")
	}
	if !bytes.Contains(text.Bytes(), []byte("what=listen")) || bytes.Contains(text.Bytes(), []byte("what=settings")) {
		t.Errorf("log %s, want it to name the listen address and nothing else", fmt.Sprint(&text))
	}
}

// Guards against a node that stays at a former address of discovery: the file may be missing or incomplete when the
// signal arrives, and no other signal follows. The failure is logged once for each signal.
func TestReloadRetriesAnIncompleteFile(t *testing.T) {
	for name, damage := range map[string]func(path string) error{
		"missing":      os.Remove,
		"empty":        func(path string) error { return os.Truncate(path, 0) },
		"half written": func(path string) error { return os.Truncate(path, 100) },
		"a directory":  func(path string) error { return errors.Join(os.Remove(path), os.Mkdir(path, 0o700)) },
		"invalid":      func(path string) error { return os.WriteFile(path, []byte(`{"listen":"nowhere"}`), 0o600) },
	} {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "config.json")
			writeConfig(t, path, "127.0.0.1:1")
			current, err := LoadConfig(path)
			if err != nil {
				t.Fatal(err)
			}
			if err := damage(path); err != nil {
				t.Fatal(err)
			}
			failed := make(chan struct{}, 16)
			log := slog.New(slog.NewTextHandler(writerFunc(func(line []byte) (int, error) {
				if bytes.Contains(line, []byte("reload failed")) {
					failed <- struct{}{}
				}
				return len(line), nil
			}), nil))
			hangups, addrChanges := make(chan os.Signal), make(chan string, 4)
			ctx, stop := context.WithCancel(t.Context())
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				ConfigReloader{path, hangups}.run(ctx, current, func(addr string) { addrChanges <- addr }, log)
			}()
			hangups <- syscall.SIGHUP
			<-failed
			hangups <- syscall.SIGHUP // a signal while the file is read again
			<-failed
			newPath := path + ".new"
			writeConfig(t, newPath, "127.0.0.1:2")
			os.Remove(path) // a directory cannot be replaced by a file
			if err := os.Rename(newPath, path); err != nil {
				t.Fatal(err)
			}
			select {
			case addr := <-addrChanges:
				if addr != "127.0.0.1:2" {
					t.Errorf("the address changes to %s", addr)
				}
			case <-time.After(testTimeout):
				t.Error("the file is not read again")
			}
			stop()
			<-ended
			if len(failed) != 0 {
				t.Errorf("%d further log lines about the same failure", len(failed))
			}
		})
	}
}
