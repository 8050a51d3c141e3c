// Case 6: a request of HTTP/1.0 with both lengths hides another one in its body.
package main

import (
	"fmt"
	"sync"
	"time"

	"otterstep/review/lab2"
)

const (
	messages = 20                     // messages of the bad client
	pause    = 150 * time.Millisecond // between two of them
)

// hiding returns a message of a bad client. With both is framed twice: by its Content-Length its body ends behind the
// first line, by its Transfer-Encoding the body is one chunk, whose content is the text of another request. Without
// it is a sound request of HTTP/1.0 with the same headers and a body of its own.
func hiding(id, hiddenID string, both bool) string {
	head := fmt.Sprintf("POST /credit-post/%s HTTP/1.0\r\nHost: api.internal\r\nConnection: keep-alive\r\nX-Correlation-Id: %s\r\n"+
		"X-Service-Class: credit-post\r\nX-Time-Left: 2.000\r\nContent-Length: 4\r\n", id, id)
	if !both {
		return head + "\r\nbody"
	}
	hidden := fmt.Sprintf("POST /credit-post/%s HTTP/1.1\r\nHost: api.internal\r\nX-Correlation-Id: %s\r\n"+
		"X-Service-Class: credit-post\r\nX-Time-Left: 2.000\r\nContent-Length: 7\r\n\r\n", hiddenID, hiddenID)
	return head + "Transfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%02x\r\n", len(hidden)) + hidden + "\r\n0\r\n\r\n"
}

func main() {
	lab2.Main(func(c *lab2.Case) (int, error) {
		var mu sync.Mutex
		ran := map[string]string{} // ids that servers have got, with what they got
		err := c.Deploy(2, 9, func(s *lab2.Server) func(string) string {
			s.Work = func(call *lab2.Call) []byte {
				mu.Lock()
				ran[call.ID] = fmt.Sprintf("%s %s body %q", call.Request.Method, call.Request.URL.Path, call.Body)
				mu.Unlock()
				c.Log("server %s runs %s %s id %s body %q", s.UID, call.Request.Method, call.Request.URL.Path, call.ID, call.Body)
				time.Sleep(100 * time.Millisecond)
				return lab2.Answer("text/plain", "done "+call.ID)
			}
			return nil
		})
		if err != nil {
			return lab2.NotRun, err
		}
		hiddenRun, servedBad, usualFailed := 0, 0, 0
		for i := range messages {
			node := c.Nodes[i%len(c.Nodes)]
			id, hiddenID, usualID := lab2.NewID(), lab2.NewID(), lab2.NewID()
			bad, err := lab2.Dial(node.Addr)
			if err != nil {
				return lab2.NotRun, err
			}
			text := hiding(id, hiddenID, lab2.Trouble())
			c.Log("client %d sends to %s: %q (id %s, hidden id %s)", i, node.Name, text, id, hiddenID)
			if err := bad.Send(text); err != nil {
				return lab2.NotRun, err
			}
			until := time.Now().Add(2500 * time.Millisecond)
			for {
				status, body, closes, err := bad.Receive(until)
				c.Log("client %d gets status %d body %q closes %v err %v", i, status, body, closes, err)
				if err == nil && status == 200 {
					servedBad++
				}
				if err != nil || closes || !lab2.Trouble() {
					break
				}
				until = time.Now().Add(500 * time.Millisecond)
			}
			bad.Close()
			// A usual client beside it.
			usual, err := lab2.Dial(node.Addr)
			if err != nil {
				return lab2.NotRun, err
			}
			usual.Send(lab2.RequestText("bill-view", usualID))
			status, body, _, err := usual.Receive(time.Now().Add(2 * time.Second))
			if status != 200 || body != "done "+usualID {
				usualFailed++
				c.Log("the usual client gets status %d body %q err %v", status, body, err)
			}
			usual.Close()
			mu.Lock()
			what, isRun := ran[hiddenID]
			mu.Unlock()
			if isRun {
				hiddenRun++
				c.Log("HIDDEN REQUEST RUN: id %s: %s", hiddenID, what)
			}
			time.Sleep(pause)
		}
		c.Say("messages %d, answered 200: %d, hidden requests that ran: %d, usual requests not served: %d",
			messages, servedBad, hiddenRun, usualFailed)
		switch {
		case usualFailed > messages/10:
			return lab2.NotRun, fmt.Errorf("%d usual requests were not served", usualFailed)
		case !lab2.Trouble() && servedBad < messages*9/10:
			return lab2.NotRun, fmt.Errorf("only %d sound requests of HTTP/1.0 were served", servedBad)
		case hiddenRun > 0:
			return lab2.Broken, nil
		}
		return lab2.Held, nil
	})
}
