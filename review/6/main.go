// Case 6: a second copy of an answer that comes some milliseconds late.
package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"otterstep/review/lab2"
)

const (
	clients = 100
	length  = 45 * time.Second
	copyOf  = 3 // one of so many answers is sent twice
	// A copy is written so long after the answer, and not at all if it would be later.
	minLate = 2 * time.Millisecond
	maxLate = 10 * time.Millisecond
	// One way between a node and a server, and how much it varies.
	minWay, maxWay = 2800 * time.Microsecond, 5200 * time.Microsecond
	jitter         = 0.27
)

// between returns a random time of a range.
func between(low, high time.Duration) time.Duration { return low + rand.N(high-low) }

// sendAgain sends the answer to a call once more, unless anything has come on the connection since.
func sendAgain(c *lab2.Case, call *lab2.Call, answer []byte, answeredAt time.Time) bool {
	count, _ := call.Conn.Count()
	time.Sleep(between(minLate, maxLate))
	now, pending := call.Conn.Count()
	late := time.Since(answeredAt)
	if now != count || pending > 0 || late >= maxLate {
		return false
	}
	call.Conn.Write(answer)
	c.Log("server %s sends the answer to %s a second time, %v after the first", call.Server.UID, call.ID, late)
	return true
}

func main() {
	lab2.Main(func(c *lab2.Case) (int, error) {
		var mu sync.Mutex
		copies, foreign, served, asked := 0, 0, 0, 0
		lastSecond := map[string]bool{} // ids whose answer was sent a second time
		foreignOf := [2]int{}           // foreign answers: the copy itself, or the answer of another request behind one
		err := c.Deploy(2, 9, func(s *lab2.Server) func(string) string {
			answerTo := func(id string) []byte {
				return lab2.Answer("application/json", fmt.Sprintf(`{"done":"%s"}`, id))
			}
			s.Work = func(call *lab2.Call) []byte {
				c.Log("server %s runs %s", s.UID, call.ID)
				time.Sleep(between(40*time.Millisecond, 80*time.Millisecond))
				return answerTo(call.ID)
			}
			s.After = func(call *lab2.Call) {
				answeredAt := time.Now()
				if !lab2.Trouble() || rand.IntN(copyOf) > 0 {
					return
				}
				go func() {
					if sendAgain(c, call, answerTo(call.ID), answeredAt) {
						mu.Lock()
						copies++
						lastSecond[call.ID] = true
						mu.Unlock()
					}
				}()
			}
			way := between(minWay, maxWay)
			return func(addr string) string {
				link, err := lab2.NewLink(addr, func() time.Duration {
					return time.Duration(float64(way) * (1 + jitter*(2*rand.Float64()-1)))
				})
				if err != nil {
					panic(err)
				}
				return link.Addr
			}
		})
		if err != nil {
			return lab2.NotRun, err
		}
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
					if status == 200 && !strings.Contains(body, id) {
						foreign++
						other := strings.TrimSuffix(strings.TrimPrefix(body, `{"done":"`), `"}`)
						if lastSecond[other] {
							foreignOf[0]++
						} else {
							foreignOf[1]++
						}
						c.Log("FOREIGN: %s %s got the answer to %s", class, id, other)
					}
					mu.Unlock()
					if err != nil || closes {
						conn.Close()
						conn = nil
					}
					time.Sleep(rand.N(200 * time.Millisecond))
				}
			})
		}
		clientsDone.Wait()
		c.Say("requests %d, served %d, copies %d, answers of another request: %d (%d by a copy, %d behind one)",
			asked, served, copies, foreign, foreignOf[0], foreignOf[1])
		switch {
		case foreign > 0:
			return lab2.Broken, nil
		case served < asked*9/10 || asked < 1000:
			return lab2.NotRun, fmt.Errorf("too few requests were served")
		}
		return lab2.Held, nil
	})
}
