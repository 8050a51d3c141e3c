package node

// memoryPlan divides the memory that the settings give a node. What remains is for the list of servers and for
// garbage that is not collected yet.
type memoryPlan struct {
	runtimeBytes int64 // memory of the Go runtime, in which the collector has to keep the heap; 0: no limit
	messageBytes int64 // memory for what messages take beyond the fixed cost of their connections
	recentIDs    int   // number of ids in a generation of recentIDs
	maxClients   int   // number of client connections whose fixed cost fits; 0: no limit
}

const (
	// maxBytesOutsideRuntime is memory that the Go runtime does not count: the program's code and the C library.
	maxBytesOutsideRuntime = 10 << 20
	// clientConnBytes is the fixed cost of a client connection: its goroutines and buffers, a small message and its
	// attempt at a server.
	clientConnBytes = 20 << 10
	// recentIDBytes is what one id in recentIDs takes, with the free room of a map that has just grown.
	recentIDBytes = 32
	// unlimitedMessageBytes is the memory for messages of a node without a memory limit.
	unlimitedMessageBytes = 64 << 20
)

// planMemory divides a number of MiB. 0 means that there is no limit.
func planMemory(memoryMB int) memoryPlan {
	if memoryMB == 0 {
		return memoryPlan{messageBytes: unlimitedMessageBytes, recentIDs: defaultRecentIDs}
	}
	total := int64(memoryMB) << 20
	return memoryPlan{
		runtimeBytes: total - max(total/4, min(maxBytesOutsideRuntime, total/2)),
		messageBytes: total / 8,
		recentIDs:    int(total / 16 / 2 / recentIDBytes),
		maxClients:   int(total / 4 / clientConnBytes),
	}
}

// limitClients returns the number of client connections for which there are descriptors and memory.
func (p memoryPlan) limitClients(descriptors int) int {
	if p.maxClients == 0 {
		return descriptors
	}
	return min(descriptors, p.maxClients)
}
