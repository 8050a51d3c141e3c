package node

import (
	"sync"

	"otterstep/policy"
)

// callCommand is a command to the discovery client to make a call, or to abandon one.
type callCommand struct {
	call     policy.Call
	abandons bool // the call is to be abandoned
}

// callQueue passes commands from the loop, which must not wait, to the discovery client.
type callQueue struct {
	mu        sync.Mutex
	queue     []callCommand
	available chan struct{} // holds a value while commands are queued; its capacity is 1
}

func newCallQueue() *callQueue { return &callQueue{available: make(chan struct{}, 1)} }

// add queues a command. It never blocks.
func (q *callQueue) add(command callCommand) {
	q.mu.Lock()
	q.queue = append(q.queue, command)
	q.mu.Unlock()
	select {
	case q.available <- struct{}{}:
	default:
	}
}

// takeAll removes and returns the queued commands.
func (q *callQueue) takeAll() []callCommand {
	q.mu.Lock()
	defer q.mu.Unlock()
	commands := q.queue
	q.queue = nil
	return commands
}
