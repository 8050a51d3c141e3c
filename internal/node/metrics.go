package node

import (
	"fmt"
	"io"
	"sync/atomic"
)

// metrics holds the counters of a node. They are safe for concurrent use.
type metrics struct {
	drainViolations    atomic.Int64 // attempts that began after the drain grace of a server out of service
	partialListEntries atomic.Int64 // entries that took effect although their answer was not accepted as a whole
	listsOverdue       atomic.Int64 // times that the list became overdue, because discovery had not answered for too long
	messagesRefused    atomic.Int64 // messages of clients that were refused before they were received whole
	serversHeld        atomic.Int64 // times that a server was held out of service because the source that listed it may lag
}

// write writes all counters in the text format of Prometheus.
func (m *metrics) write(w io.Writer) {
	for _, counter := range []struct {
		name, help string
		value      *atomic.Int64
	}{
		{"otterstep_drain_violations_total", "Attempts that began after the drain grace of a server out of service.", &m.drainViolations},
		{"otterstep_partial_list_lines_total",
			"Lines of discovery that took servers out of service by an answer that was not taken whole.", &m.partialListEntries},
		{"otterstep_lists_overdue_total",
			"Times that nothing was heard from discovery for longer than a change may take to count as told.", &m.listsOverdue},
		{"otterstep_messages_refused_total",
			"Messages of clients refused for their framing, memory, fields or slowness, or for lack of connections.", &m.messagesRefused},
		{"otterstep_servers_held_total",
			"Times that a server listed in service was held out of service as its source may lag.", &m.serversHeld},
	} {
		fmt.Fprintf(w, "# HELP %s %s\n# TYPE %s counter\n%s %d\n",
			counter.name, counter.help, counter.name, counter.name, counter.value.Load())
	}
}
