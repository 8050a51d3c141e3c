// Case 8: answers of billing servers that have no length and come whole.
package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"otterstep/review/lab2"
)

const (
	clients     = 30               // clients that send one request after another
	length      = 20 * time.Second // of the run
	noLengthOf  = 3                // one of so many answers to a credit-post has no length
	workAtLeast = 60 * time.Millisecond
	workSpread  = 80 * time.Millisecond
)

func main() {
	lab2.Main(func(c *lab2.Case) (int, error) {
		var mu sync.Mutex
		noLength := map[string]string{} // bodies of the whole answers without a length, by the id of their credit-post
		withLength := map[string]string{}
		err := c.Deploy(2, 9, func(s *lab2.Server) func(string) string {
			s.Work = func(call *lab2.Call) []byte {
				time.Sleep(workAtLeast + time.Duration(rand.Int64N(int64(workSpread))))
				body := fmt.Sprintf(`{"done":"%s","by":"%s"}`, call.ID, s.UID)
				class := call.Request.Header.Get("X-Service-Class")
				if lab2.Trouble() && class == "credit-post" && rand.IntN(noLengthOf) == 0 {
					c.Log("server %s has run %s %s, answers without a length: %s", s.UID, class, call.ID, body)
					mu.Lock()
					noLength[call.ID] = body
					mu.Unlock()
					// The end of the connection is the end of the answer: Work returns nil, and the server closes.
					fmt.Fprintf(call.Conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nConnection: close\r\n\r\n%s", body)
					return nil
				}
				c.Log("server %s has run %s %s, answers with a length: %s", s.UID, class, call.ID, body)
				mu.Lock()
				withLength[call.ID] = body
				mu.Unlock()
				return lab2.Answer("application/json", body)
			}
			return nil
		})
		if err != nil {
			return lab2.NotRun, err
		}
		got := map[string]string{} // what clients got for their credit-posts: the body of a 200, or the status
		served, asked := 0, 0
		var clientsDone sync.WaitGroup
		end := time.Now().Add(length)
		for i := range clients {
			clientsDone.Go(func() {
				node := c.Nodes[i%len(c.Nodes)]
				var conn *lab2.Client
				for n := i; time.Now().Before(end); n++ {
					if conn == nil {
						var err error
						if conn, err = lab2.Dial(node.Addr); err != nil {
							c.Log("client %d cannot connect: %v", i, err)
							return
						}
					}
					class, id := lab2.Classes[n%3], lab2.NewID()
					c.Log("client %d sends %s %s to %s", i, class, id, node.Name)
					conn.Send(lab2.RequestText(class, id))
					status, body, closes, err := conn.Receive(time.Now().Add(lab2.Deadline(class) + 500*time.Millisecond))
					c.Log("client %d gets for %s %s: status %d body %q err %v", i, class, id, status, body, err)
					mu.Lock()
					asked++
					if status == 200 {
						served++
					}
					if class == "credit-post" {
						if got[id] = body; status != 200 {
							got[id] = fmt.Sprintf("status %d, err %v", status, err)
						}
					}
					mu.Unlock()
					if err != nil || closes {
						conn.Close()
						conn = nil
					}
					time.Sleep(50 * time.Millisecond)
				}
			})
		}
		clientsDone.Wait()
		forwarded, sound := 0, 0
		for id, body := range noLength {
			if got[id] == body {
				forwarded++
			} else {
				c.Log("NOT FORWARDED: credit-post %s has run, its answer is %s, its client got %s", id, body, got[id])
			}
		}
		for id, body := range withLength {
			if got[id] == body {
				sound++
			}
		}
		c.Say("requests %d, served %d; whole answers without a length to credit-posts: %d, forwarded: %d", asked, served, len(noLength), forwarded)
		switch {
		case sound < 100 || lab2.Trouble() && len(noLength) < 30:
			return lab2.NotRun, fmt.Errorf("too few requests: %d credit-posts served with a length", sound)
		case 2*forwarded < len(noLength):
			return lab2.Broken, nil
		}
		return lab2.Held, nil
	})
}
