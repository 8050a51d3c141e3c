package node

import (
	"sync"

	"otterstep/policy"
)

// sendGate keeps attempts from beginning at servers that discovery has just taken out of service, from the time at
// which the node has read that until the Balancer has cancelled the attempts not yet sent there. It is safe for
// concurrent use.
type sendGate struct {
	mu         sync.Mutex
	takenOut   map[policy.ServerID]int          // number of pending messages that take a server out of service
	wholeLists map[int]map[policy.ServerID]bool // servers that each pending whole list names, by number of the list
	lastListID int                              // number of the latest whole list
}

// newSendGate returns a gate that is open for all servers.
func newSendGate() *sendGate {
	return &sendGate{takenOut: map[policy.ServerID]int{}, wholeLists: map[int]map[policy.ServerID]bool{}}
}

// closeFor closes the gate for the servers that entries take out of service, until the returned function is called.
// If the entries name all servers, those that they do not name are out of service too.
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

// reopenWholeList undoes closeFor for entries that name all servers.
func (g *sendGate) reopenWholeList(listID int, entries []policy.Entry) {
	g.reopen(entries)
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.wholeLists, listID)
}

// reopen undoes closeFor for the servers that entries take out of service.
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

// admits reports whether an attempt may begin at a server.
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
