package node

import "runtime"

// yieldProcessor lets other goroutines run. A goroutine whose input is always there never blocks, and would otherwise
// keep the processor for a whole time slice of the scheduler while all others wait. Each loop over input that others
// send calls it once for each bounded piece of work.
func yieldProcessor() { runtime.Gosched() }
