package kit

import (
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Deployment is a small deployment: nodes of the program, billing servers in two data centres and discovery.
type Deployment struct {
	Record  *Record
	Servers []*Server
	Nodes   []*Node
	Clients []*Client // one for each node

	dir         string
	discoveries []*Discovery // one view for each node: the endpoint of a server may differ from one node to the next
	links       []*Link
}

// Options describe a deployment.
type Options struct {
	Root, Run    string
	Record       *Record
	Nodes        int
	Servers      int
	CrossDelay   time.Duration // one way between a node and a billing server of the other data centre; 0: none
	MemoryMB     int
	Sockets      int
	LogLevel     string
	Change       func(settings map[string]any)
	AnswerServer func(c *ServerConn, r *ServerRequest) (goOn bool)
}

// Start starts a deployment and waits until all nodes are ready.
func Start(o Options) (*Deployment, error) {
	d := &Deployment{Record: o.Record}
	var err error
	if d.dir, err = os.MkdirTemp("", "review-"); err != nil {
		return d, err
	}
	go d.endWhenInterrupted()
	for i := range o.Servers {
		s, err := NewServer(fmt.Sprintf("s-%02d", i), o.Record, o.AnswerServer)
		if err != nil {
			return d, err
		}
		d.Servers = append(d.Servers, s)
	}
	for i := range o.Nodes {
		if err := d.startNode(o, i); err != nil {
			return d, err
		}
	}
	return d, nil
}

// startNode starts a node and its view of discovery. Between the node and the billing servers of the other data centre
// stands a link.
func (d *Deployment) startNode(o Options, index int) error {
	var entries []Entry
	for i, s := range d.Servers {
		addr := s.Addr()
		if o.CrossDelay > 0 && i%len(Zones) != index%len(Zones) {
			link, err := NewLink(addr, o.CrossDelay)
			if err != nil {
				return err
			}
			d.links = append(d.links, link)
			addr = link.Addr()
		}
		entries = append(entries, Entry{UID: s.UID, Endpoint: addr, AZ: Zones[i%len(Zones)], Model: "fast-2c", PodGroup: i / 5,
			State: "in_service", CapacityHint: 1})
	}
	discovery, err := NewDiscovery(entries)
	if err != nil {
		return err
	}
	d.discoveries = append(d.discoveries, discovery)
	settings := Settings(index, o.Nodes)
	if o.Change != nil {
		o.Change(settings)
	}
	n, err := StartNode(NodeOptions{Root: o.Root, Run: o.Run, Dir: d.dir, Index: index, Discovery: discovery.Addr(),
		Known: discovery.Known(), Settings: settings, MemoryMB: o.MemoryMB, Sockets: o.Sockets, LogLevel: o.LogLevel})
	if err != nil {
		return err
	}
	d.Nodes = append(d.Nodes, n)
	d.Clients = append(d.Clients, NewClient(n.Addr))
	return nil
}

// timeLimit is the longest time that a case takes.
const timeLimit = 110 * time.Second

// endWhenInterrupted ends all processes and the case, which then could not run, at a signal or after timeLimit.
func (d *Deployment) endWhenInterrupted() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	reason := "it took too long"
	select {
	case s := <-signals:
		reason = s.String()
	case <-time.After(timeLimit):
	}
	killAll()
	os.RemoveAll(d.dir)
	d.Record.Say("the case could not run to its end: %s", reason)
	d.Record.Close()
	os.Exit(CouldNot)
}

// HasLostANode reports whether a node has ended by itself, and says so.
func (d *Deployment) HasLostANode() bool {
	for _, n := range d.Nodes {
		if n.HasExited() {
			d.Record.Say("the case could not run to its end: %s ended: %v", n.Name, n.err)
			return true
		}
	}
	return false
}

// Stop ends all processes and stand-ins and removes the temporary folder. It copies the nodes' logs into the record.
func (d *Deployment) Stop() {
	for _, c := range d.Clients {
		c.Close()
	}
	for _, n := range d.Nodes {
		n.Stop()
		d.Record.Line("%s ended: %v", n.Name, n.err)
		if text, err := os.ReadFile(n.LogPath); err == nil {
			d.Record.Line("log of %s:\n%.20000s", n.Name, text)
		}
	}
	for _, discovery := range d.discoveries {
		discovery.Close()
	}
	for _, l := range d.links {
		l.Close()
	}
	if count, late, mean := linkDelays(); count > 0 {
		d.Record.Say("links passed on %d pieces after %.2f ms in the mean, %d of them after more than 5.2 ms", count, mean, late)
	}
	for _, s := range d.Servers {
		s.Close()
	}
	os.RemoveAll(d.dir)
}

// Args returns the root of the repository, the command run of its deploy file, the path of the record and whether the
// disruption takes place, as run.sh passes them on.
func Args() (root, run, record string, trouble bool) {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: ROOT RUN RECORD")
		os.Exit(2)
	}
	return os.Args[1], os.Args[2], filepath.Clean(os.Args[3]), os.Getenv("TROUBLE") != "0"
}

// Exit codes of a case.
const (
	Held      = 0
	Broken    = 1
	CouldNot  = 2
	sendLimit = 500 * time.Millisecond // an answer up to half a second after a request's time is late and not lost
)

// PickClass draws a class with the shares of billing-casa.
func PickClass(rng *rand.Rand) Class {
	switch x := rng.Float64(); {
	case x < 0.43:
		return BillingClasses[0]
	case x < 0.83:
		return BillingClasses[1]
	}
	return BillingClasses[2]
}

// Load sends requests at a mean rate to all nodes together, for a time, and passes on each result.
func (d *Deployment) Load(seed uint64, perSecond float64, length time.Duration, pick func(*rand.Rand) Class,
	onResult func(id string, class Class, result Result)) {
	rng := rand.New(rand.NewPCG(seed, 0))
	var wait sync.WaitGroup
	defer wait.Wait()
	next := time.Now()
	for end, i := next.Add(length), 0; next.Before(end); i++ {
		next = next.Add(time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second)))
		time.Sleep(time.Until(next))
		class, client := pick(rng), d.Clients[i%len(d.Clients)]
		id, key := fmt.Sprintf("%016x", rng.Uint64()), fmt.Sprintf("%016x%016x", rng.Uint64(), rng.Uint64())
		wait.Go(func() {
			d.Record.Line("sent %s %s to %s", id, class.Name, client.addr)
			limit := time.Duration(class.DeadlineMs)*time.Millisecond + sendLimit
			result := client.Send(id, class, key, []byte("amount=140.40&currency=MAD&account=C-"+id), limit)
			if result.Err != nil {
				d.Record.Line("answered %s nothing: %v", id, result.Err)
			} else {
				d.Record.Line("answered %s %d %q", id, result.Code, result.Body)
			}
			onResult(id, class, result)
		})
	}
}
