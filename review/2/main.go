// Command 2 plays billing servers that spoil some answers by a length that does not fit.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"otterstep/review/kit"
)

const (
	seed       = 30
	length     = 20 * time.Second
	perSecond  = 60
	spoilShare = 0.05
)

func main() { os.Exit(run()) }

func run() int {
	root, command, recordPath, trouble := kit.Args()
	record, err := kit.NewRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return kit.CouldNot
	}
	defer record.Close()

	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(seed, 1))
	made := map[string]map[string]bool{} // bodies that billing servers made, by request
	spoilt := 0
	answer := func(c *kit.ServerConn, r *kit.ServerRequest) bool {
		time.Sleep(20 * time.Millisecond)
		body := c.Server.Body(r)
		mu.Lock()
		if made[r.ID] == nil {
			made[r.ID] = map[string]bool{}
		}
		made[r.ID][body] = true
		spoil := rng.Float64() < spoilShare && trouble
		if spoil {
			spoilt++
		}
		mu.Unlock()
		if !spoil {
			c.Write([]byte(kit.OKAnswer(body)))
			return true
		}
		// A length that does not fit: half of the body's. The connection stays open and is of no further use.
		record.Line("spoilt %s at %s: Content-Length %d, body of %d bytes", r.ID, c.Server.UID, len(body)/2, len(body))
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body)/2, body)
		c.SetReadDeadline(time.Now().Add(30 * time.Second))
		c.Reader.Peek(1)
		return false
	}
	d, err := kit.Start(kit.Options{Root: root, Run: command, Record: record, Nodes: 2, Servers: 9, AnswerServer: answer})
	defer d.Stop()
	if err != nil {
		record.Say("the case could not run: %v", err)
		return kit.CouldNot
	}
	served, wrong, other := 0, 0, 0
	d.Load(seed, perSecond, length, kit.PickClass, func(id string, class kit.Class, result kit.Result) {
		mu.Lock()
		defer mu.Unlock()
		switch {
		case result.Code != 200:
			other++
		case made[id][result.Body]:
			served++
		default:
			wrong++
			if wrong <= 5 {
				record.Say("BROKEN: %s %s was served %q, which no billing server made for it", class.Name, id, result.Body)
			}
		}
	})
	record.Say("served as made: %d, served otherwise: %d, refused or failed: %d, spoilt answers: %d", served, wrong, other, spoilt)
	switch {
	case d.HasLostANode() || served == 0 || trouble && spoilt == 0:
		return kit.CouldNot
	case wrong > 0:
		return kit.Broken
	}
	return kit.Held
}
