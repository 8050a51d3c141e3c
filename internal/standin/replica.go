package standin

import (
	"net/http/httptest"
	"time"
)

// NeverCatchesUp is the lag of a replica that copies no changes.
const NeverCatchesUp time.Duration = -1

// discoveryReplica is a service that copies the changes of another one after a lag.
type discoveryReplica struct {
	discovery *Discovery
	lag       time.Duration
}

// NewDiscoveryReplica starts a service at an address of its own with the list and the version of another
// service. It copies each later change of that service after a lag, or none with NeverCatchesUp. Close
// stops it.
func NewDiscoveryReplica(source *Discovery, lag time.Duration) *Discovery {
	source.mu.Lock()
	defer source.mu.Unlock()
	d := newDiscovery(nil)
	for _, change := range source.changeLog {
		d.addVersion(change.version, change.entries)
	}
	source.replicas = append(source.replicas, discoveryReplica{discovery: d, lag: lag})
	d.server = httptest.NewServer(d)
	return d
}

// replicate has the replicas copy a version after their lag. The caller holds d.mu.
func (d *Discovery) replicate(version int64, entries []Entry) {
	for _, r := range d.replicas {
		if r.lag == NeverCatchesUp {
			continue
		}
		time.AfterFunc(r.lag, func() { r.discovery.addIfNewer(version, entries) })
	}
}

// addIfNewer adds or replaces entries as a version, unless the service has reached that version.
func (d *Discovery) addIfNewer(version int64, entries []Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if version > d.version {
		d.addVersion(version, entries)
	}
}

// Restart has the service begin again at version 1 with the given entries, like one that has lost its
// store.
func (d *Discovery) Restart(entries []Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	clear(d.entries)
	clear(d.changedAtVersion)
	d.changeLog = nil
	d.addVersion(1, entries)
}

// AnsweredBy returns a fault that has another service answer the calls, such as a replica behind the same
// address.
func AnsweredBy(other *Discovery) Fault {
	return func(c *Call) {
		c.awaitAnswer = func() ([]byte, error) { return other.awaitAnswer(c.Request, nil) }
		c.Answer()
	}
}
