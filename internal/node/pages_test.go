package node

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
)

// requireNotServed sends a request, whole and behind a sound one, and requires one error and a close, and that no server runs it.
func requireNotServed(t *testing.T, s *idRecorder, addr, text string) {
	t.Helper()
	sound := rawRequest(t, "book")
	for _, front := range []string{"", sound} {
		answers := exchange(t, addr, []string{front + text})
		if front != "" {
			if len(answers) == 0 || answers[0].code != http.StatusOK || answers[0].body != idOf(front) {
				t.Fatalf("answers %+v, want the request in front served", answers)
			}
			answers = answers[1:]
		}
		if len(answers) != 1 || answers[0].code < 400 || !answers[0].closes {
			t.Errorf("answers %+v, want one error and a close", answers)
		}
	}
	if id := idOf(text); id != "" && s.hasRun(id) {
		t.Error("a server has run it")
	}
}

// TestOptionsOfTheNodeItselfGetAnError guards against a 200 that net/http words itself: a client takes it for the answer of a
// server that has run its request.
func TestOptionsOfTheNodeItselfGetAnError(t *testing.T) {
	s := newIDRecorder(t)
	addr, _ := startNode(t, newFakeDiscovery(t, inServiceEntry(s.fakeServer, "s1")))
	for _, version := range []string{"HTTP/1.0", "HTTP/1.1"} {
		for _, target := range []string{"*", "/", "http://api/", "/book/1"} {
			for name, lines := range map[string][]string{
				"with the fields of a request": {"Content-Length: 0"},
				"with a body":                  {"Content-Length: 4"},
				"with Upgrade":                 {"Connection: Upgrade", "Upgrade: websocket"},
				"with a close":                 {"Connection: close"},
			} {
				t.Run(fmt.Sprint(target, ", ", version, ", ", name), func(t *testing.T) {
					text := rawBook(t, version, "", lines...)
					_, fields, _ := strings.Cut(text, "\r\n")
					body := ""
					if name == "with a body" {
						body = "body"
					}
					requireNotServed(t, s, addr, fmt.Sprintf("OPTIONS %s %s\r\n%s%s", target, version, fields, body))
				})
			}
			t.Run(fmt.Sprint(target, ", ", version, ", alone"), func(t *testing.T) {
				requireNotServed(t, s, addr, fmt.Sprintf("OPTIONS %s %s\r\nHost: api\r\nConnection: keep-alive\r\n\r\n", target, version))
			})
		}
	}
}
