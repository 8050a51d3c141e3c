package node

import (
	"sync"

	"otterstep/policy"
)

// sendGate keeps attempts from beginning at servers that discovery has just taken out of service, from the
// moment at which the node has read so until the module has withdrawn them. It is safe for concurrent use.
type sendGate struct {
	mu         sync.Mutex
	takenOut   map[policy.ServerID]int          // messages under way that take a server out,
	wholeLists map[int]map[policy.ServerID]bool // and the servers that whole lists under way name
	lastListID int                              // number of a whole list
}

func newSendGate() *sendGate {
	return &sendGate{takenOut: map[policy.ServerID]int{}, wholeLists: map[int]map[policy.ServerID]bool{}}
}

// shut closes the gate to servers that lines take out of service, until the function is called that it gives.
// Lines that name all servers take out those that they do not name.
func (g *sendGate) closeFor(entries []policy.Entry, namesAll bool) (reopen func()) {
	var named map[policy.ServerID]bool
	if namesAll {
		named = make(map[policy.ServerID]bool, len(entries))
		for _, entry := range entries {
			named[entry.Server] = true
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, entry := range entries {
		if entry.State != policy.StateInService {
			g.takenOut[entry.Server]++
		}
	}
	if !namesAll {
		return func() { g.reopen(entries) }
	}
	g.lastListID++
	listID := g.lastListID
	g.wholeLists[listID] = named
	return func() { g.reopenWholeList(listID, entries) }
}

// reopenWhole ends what shut began for lines that name all servers.
func (g *sendGate) reopenWholeList(listID int, entries []policy.Entry) {
	g.reopen(entries)
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.wholeLists, listID)
}

// reopen ends what shut began for the servers that lines take out of service.
func (g *sendGate) reopen(entries []policy.Entry) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, entry := range entries {
		if entry.State == policy.StateInService {
			continue
		}
		if g.takenOut[entry.Server]--; g.takenOut[entry.Server] == 0 {
			delete(g.takenOut, entry.Server)
		}
	}
}

// admits tells whether an attempt may begin at a server.
func (g *sendGate) admits(server policy.ServerID) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, named := range g.wholeLists {
		if !named[server] {
			return false
		}
	}
	return g.takenOut[server] == 0
}
