package node

import (
	"sync"

	"otterstep/policy"
)

// callOrder is what the module wants done: a call, or the end of one.
type callCommand struct {
	call     policy.Call
	abandons bool
}

// callOrders hands orders from the loop, which must not wait, to discovery.
type callQueue struct {
	mu        sync.Mutex
	queue     []callCommand
	available chan struct{} // room for one: there are some
}

func newCallQueue() *callQueue { return &callQueue{available: make(chan struct{}, 1)} }

// add queues an order; it never blocks.
func (o *callQueue) add(command callCommand) {
	o.mu.Lock()
	o.queue = append(o.queue, command)
	o.mu.Unlock()
	select {
	case o.available <- struct{}{}:
	default:
	}
}

// take gives the orders so far.
func (o *callQueue) takeAll() []callCommand {
	o.mu.Lock()
	defer o.mu.Unlock()
	commands := o.queue
	o.queue = nil
	return commands
}
