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
		requireOneError(t, exchange(t, addr, []string{front + text}), front)
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

// pageTargets are targets of the node's own pages.
var pageTargets = []string{"/up", "/%75p", "/up?verbose", "http://api.internal/up", "/metrics", "/%6detrics", "http://api.internal/metrics"}

// TestPagesOfTheNodeRefuseOtherMethods guards against a 200 of the node's own pages for a request that a client takes for run, and
// against a request that is hidden in the body of one for a page.
func TestPagesOfTheNodeRefuseOtherMethods(t *testing.T) {
	s := newIDRecorder(t)
	addr, _ := startNode(t, newFakeDiscovery(t, inServiceEntry(s.fakeServer, "s1")))
	for _, target := range pageTargets {
		for _, method := range []string{"POST", "PUT", "PATCH", "DELETE", "OPTIONS", "TRACE", "CONNECT", "REPORT", "GET with a body", "HEAD with a body"} {
			for _, version := range []string{"HTTP/1.0", "HTTP/1.1"} {
				t.Run(fmt.Sprint(method, " ", target, " ", version), func(t *testing.T) {
					method, hasBody := strings.CutSuffix(method, " with a body")
					hidden := rawRequest(t, "book")
					lines, body := []string{"Content-Length: 0"}, ""
					if hasBody || method == "POST" {
						lines, body = []string{fmt.Sprint("Content-Length: ", len(hidden))}, hidden
					}
					_, fields, _ := strings.Cut(rawBook(t, version, body, append(lines, "Connection: keep-alive")...), "\r\n")
					requireNotServed(t, s, addr, fmt.Sprintf("%s %s %s\r\n%s", method, target, version, fields))
					if s.hasRun(idOf(hidden)) {
						t.Error("a server has run the request in the body")
					}
				})
			}
		}
	}
}

// TestPagesOfTheNodeTakeGETAndHEAD guards against health checks that are refused, and against pages that close their connection.
func TestPagesOfTheNodeTakeGETAndHEAD(t *testing.T) {
	s := newIDRecorder(t)
	addr, _ := startNode(t, newFakeDiscovery(t, inServiceEntry(s.fakeServer, "s1")))
	for _, target := range pageTargets {
		for _, method := range []string{http.MethodGet, http.MethodHead} {
			for _, version := range []string{"HTTP/1.0", "HTTP/1.1"} {
				t.Run(fmt.Sprint(method, " ", target, " ", version), func(t *testing.T) {
					page := fmt.Sprintf("%s %s %s\r\nHost: api\r\nConnection: keep-alive\r\n\r\n", method, target, version)
					behind := rawBook(t, "HTTP/1.1", "", "Content-Length: 0", "Connection: close")
					answers := exchangeMethods(t, addr, []string{page, behind}, method, http.MethodPost)
					if len(answers) != 2 || answers[0].code != http.StatusOK || answers[1].code != http.StatusOK || answers[1].body != idOf(behind) {
						t.Errorf("answers %+v, want the page and the request behind it", answers)
					}
				})
			}
		}
	}
}
