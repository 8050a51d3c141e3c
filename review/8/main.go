// Case 8: a bad client's request for no class is answered as if it had run.
package main

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"otterstep/review/lab2"
)

const (
	messages = 20 // of each form
	owedIn   = 3 * time.Second
)

// form is a form of the bad client's request. ID stands for its id.
type form struct{ name, text string }

// forms returns the requests of the bad client: their target is of no class, and one has no id. Without the
// disruption it sends a credit-post with the same headers.
func forms() []form {
	const fields = "X-Correlation-Id: ID\r\nX-Service-Class: credit-post\r\nX-Time-Left: 2.000\r\n"
	if !lab2.Trouble() {
		return []form{{"a sound credit-post", "POST /credit-post/ID HTTP/1.1\r\nHost: api.internal\r\n" + fields + "Content-Length: 0\r\n\r\n"}}
	}
	return []form{
		{"no class in its path", "OPTIONS * HTTP/1.1\r\nHost: api.internal\r\n" + fields + "\r\n"},
		{"no class and no id", "OPTIONS * HTTP/1.1\r\nHost: api.internal\r\n\r\n"},
	}
}

func main() {
	lab2.Main(func(c *lab2.Case) (int, error) {
		var mu sync.Mutex
		ran := map[string]bool{} // ids that servers have run
		err := c.Deploy(2, 9, func(s *lab2.Server) func(string) string {
			s.Work = func(call *lab2.Call) []byte {
				mu.Lock()
				ran[call.ID] = true
				mu.Unlock()
				c.Log("server %s runs %s %s id %s", s.UID, call.Request.Method, call.Request.URL.Path, call.ID)
				time.Sleep(100 * time.Millisecond)
				return lab2.Answer("text/plain", "done "+call.ID)
			}
			return nil
		})
		if err != nil {
			return lab2.NotRun, err
		}
		asked, notRun, errors, served := 0, 0, 0, 0
		for i := range messages {
			node := c.Nodes[i%len(c.Nodes)]
			for _, f := range forms() {
				id := lab2.NewID()
				conn, err := lab2.Dial(node.Addr)
				if err != nil {
					return lab2.NotRun, err
				}
				text := strings.ReplaceAll(f.text, "ID", id)
				c.Log("client %d sends to %s (%s): %q", i, node.Name, f.name, text)
				conn.Send(text)
				status, body, closes, err := conn.Receive(time.Now().Add(owedIn))
				c.Log("client %d gets status %d body %q closes %v err %v", i, status, body, closes, err)
				conn.Close()
				mu.Lock()
				asked++
				switch {
				case status == 200 && !ran[id]:
					notRun++
					c.Log("SERVED THOUGH NOT RUN: %s", f.name)
				case status == 200:
					served++
				case status >= 400:
					errors++
				}
				mu.Unlock()
			}
		}
		c.Say("requests %d, answered 200 after a server ran them: %d, answered 200 though no server ran them: %d, answered with an error: %d",
			asked, served, notRun, errors)
		switch {
		case notRun > 0:
			return lab2.Broken, nil
		case !lab2.Trouble() && served < asked*9/10:
			return lab2.NotRun, fmt.Errorf("too few requests were served")
		}
		return lab2.Held, nil
	})
}
