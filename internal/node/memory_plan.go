package node

// memoryPlan divides the memory that the settings give a node. What remains is for the list of servers and for
// garbage that is not collected yet.
type memoryPlan struct {
	runtimeBytes int64 // memory of the Go runtime, in which the collector has to keep the heap; 0: no limit
	messageBytes int64 // memory for what messages take beyond the fixed cost of their connections
	recentIDs    int   // number of ids in a generation of recentIDs
	maxClients   int   // number of client connections for which there are descriptors and memory
}

const (
	// maxBytesOutsideRuntime is memory that the Go runtime does not count: the program's code and the C library.
	maxBytesOutsideRuntime = 10 << 20
	// clientConnBytes is the fixed cost of a client connection: its goroutines and buffers, a small message and its
	// attempt at a server.
	clientConnBytes = 20 << 10
	// recentIDBytes is what one id in recentIDs takes, with the free room of a map that has just grown.
	recentIDBytes = 32
	// minUsefulMessageBytes lets a node with few connections take some large messages at once.
	minUsefulMessageBytes = 1 << 20
	// unlimitedMessageBytes is the memory for messages of a node without a memory limit.
	unlimitedMessageBytes = 64 << 20
)

// planMemory divides a number of MiB for a node that has descriptors for some client connections. 0 MiB means that there
// is no limit.
func planMemory(memoryMB, descriptors int) memoryPlan {
	if memoryMB == 0 {
		return memoryPlan{
			messageBytes: min(unlimitedMessageBytes, usefulMessageBytes(descriptors)),
			recentIDs:    defaultRecentIDs,
			maxClients:   descriptors,
		}
	}
	total := int64(memoryMB) << 20
	plan := memoryPlan{
		runtimeBytes: total - max(total/4, min(maxBytesOutsideRuntime, total/2)),
		recentIDs:    int(total / 16 / 2 / recentIDBytes),
		maxClients:   min(descriptors, int(total/4/clientConnBytes)),
	}
	plan.messageBytes = min(total/8, usefulMessageBytes(plan.maxClients))
	return plan
}

// usefulMessageBytes returns the memory with which a quarter of the clients may have a message of the largest size.
// With more, clients with large messages could take all connections and the processor.
func usefulMessageBytes(clients int) int64 {
	return max(minUsefulMessageBytes, int64(clients)*maxBodyBytes/4)
}
