package node

import (
	"sync"

	"otterstep/policy"
)

// sendGate keeps attempts from beginning at servers that discovery has just taken out of service, from the
// moment at which the node has read so until the module has withdrawn them. It is safe for concurrent use.
type sendGate struct {
	mu     sync.Mutex
	closed map[policy.ServerID]int          // messages under way that take a server out,
	whole  map[int]map[policy.ServerID]bool // and the servers that whole lists under way name
	last   int                              // number of a whole list
}

func newSendGate() *sendGate {
	return &sendGate{closed: map[policy.ServerID]int{}, whole: map[int]map[policy.ServerID]bool{}}
}

// shut closes the gate to servers that lines take out of service, until the function is called that it gives.
// Lines that name all servers take out those that they do not name.
func (g *sendGate) shut(lines []policy.Entry, nameAll bool) (reopen func()) {
	var named map[policy.ServerID]bool
	if nameAll {
		named = make(map[policy.ServerID]bool, len(lines))
		for _, line := range lines {
			named[line.Server] = true
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, line := range lines {
		if line.State != policy.StateInService {
			g.closed[line.Server]++
		}
	}
	if !nameAll {
		return func() { g.reopen(lines) }
	}
	g.last++
	list := g.last
	g.whole[list] = named
	return func() { g.reopenWhole(list, lines) }
}

// reopenWhole ends what shut began for lines that name all servers.
func (g *sendGate) reopenWhole(list int, lines []policy.Entry) {
	g.reopen(lines)
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.whole, list)
}

// reopen ends what shut began for the servers that lines take out of service.
func (g *sendGate) reopen(lines []policy.Entry) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, line := range lines {
		if line.State == policy.StateInService {
			continue
		}
		if g.closed[line.Server]--; g.closed[line.Server] == 0 {
			delete(g.closed, line.Server)
		}
	}
}

// admits tells whether an attempt may begin at a server.
func (g *sendGate) admits(server policy.ServerID) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, named := range g.whole {
		if !named[server] {
			return false
		}
	}
	return g.closed[server] == 0
}
