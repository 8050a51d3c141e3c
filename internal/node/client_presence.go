package node

import "net/http"

// clientPresence tells whether the client of a request is still connected.
type clientPresence struct {
	disconnected <-chan struct{} // closed when the node has read the end of the connection
	conn         *clientConn     // nil: not known
}

// presenceOf returns the presence of a request's client.
func presenceOf(r *http.Request) *clientPresence {
	return &clientPresence{disconnected: r.Context().Done(), conn: connOf(r)}
}

// isGone reports whether the client has disconnected, also if the goroutine that reads its connection has not run
// since.
func (p *clientPresence) isGone() bool {
	if p == nil {
		return false
	}
	select {
	case <-p.disconnected:
		return true
	default:
		return p.conn != nil && p.conn.hasEnded()
	}
}
