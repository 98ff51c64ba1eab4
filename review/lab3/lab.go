package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"time"
)

// zones are those of the deployment, each in its own region.
var zones = []string{"kl-a", "kk-a", "kch-a"}

// lab is one run of a case.
type lab struct {
	trouble bool
	dir     string
	started time.Time
	store   *store
	// oneCore makes the processes use one core, as many as a machine reports.
	oneCore bool
	vms     []*vm

	mu      sync.Mutex
	out     *os.File
	sent    map[string]int
	runs    map[string][]string
	crashes map[string][]time.Time
}

// newLab begins a run that writes to record.txt in a folder.
func newLab(folder string, trouble bool) (*lab, error) {
	out, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	l := &lab{
		trouble: trouble, dir: dir, started: time.Now(), store: newStore(), out: out,
		sent: map[string]int{}, runs: map[string][]string{}, crashes: map[string][]time.Time{},
	}
	l.store.onTooLarge = func(bytes int) { l.record("store", "413 to a transaction of %d bytes", bytes) }
	return l, nil
}

// close ends all processes and removes the temporary folder.
func (l *lab) close() {
	for _, v := range l.vms {
		v.stop()
	}
	_ = os.RemoveAll(l.dir)
	_ = l.out.Close()
}

// record writes a line to the record.
func (l *lab) record(what, format string, values ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, _ = fmt.Fprintf(l.out, "%8.3f %-8s %s\n", time.Since(l.started).Seconds(), what, fmt.Sprintf(format, values...))
}

// say writes a line to the record and to the standard output.
func (l *lab) say(format string, values ...any) {
	l.record("result", format, values...)
	fmt.Printf(format+"\n", values...)
}

// ran records that a replica has begun to run a request.
func (l *lab) ran(replica string, c call) {
	l.record("run", "replica=%s %s %s id=%s program=%s tenant=%s body=%d bytes", replica, c.method, c.target, c.id, c.program, c.tenant, len(c.body))
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[c.id] = append(l.runs[c.id], replica)
}

// runsOf returns the replicas that ran a request.
func (l *lab) runsOf(id string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.runs[id]...)
}

// crashed records that a replica crashed with a request.
func (l *lab) crashed(replica string, c call) {
	l.record("crash", "replica=%s with id=%s", replica, c.id)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.crashes[c.target+" "+c.tenant] = append(l.crashes[c.target+" "+c.tenant], time.Now())
}

// configure writes a configuration as the operator does.
func (l *lab) configure(version int, routes, services []map[string]any, more map[string]any) {
	config := map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
	for key, value := range more {
		config[key] = value
	}
	l.store.put("op", "config", config)
	l.record("config", "version %d, %d routes", version, len(routes))
}

// lowestPort and portCount give the range of the ports of machines, below those that the
// system gives to outgoing channels.
const (
	lowestPort = 15000
	portCount  = 15000
)

// freePorts returns free ports. They are held until all of them are known.
func freePorts(n int) ([]string, error) {
	var addresses []string
	for tries := 0; len(addresses) < n; tries++ {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", lowestPort+rand.IntN(portCount)))
		if err != nil {
			if tries < 100*n {
				continue
			}
			return nil, err
		}
		defer func() { _ = listener.Close() }()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}

// startVMs starts machines, the first one in the first zone, and waits until they are ready.
func (l *lab) startVMs(n, memoryMB int, placed func(i int) string) error {
	for i := range n {
		v, err := l.newVM(fmt.Sprintf("edge-%s-%d", placed(i), i+1), placed(i), memoryMB)
		if err != nil {
			return err
		}
		l.vms = append(l.vms, v)
	}
	for _, v := range l.vms {
		if err := v.awaitReady(15 * time.Second); err != nil {
			return err
		}
	}
	// The machines learn of each other.
	time.Sleep(4 * time.Second)
	return nil
}

// inTurn places machines in the zones in turn.
func inTurn(i int) string { return zones[i%len(zones)] }

// count counts an outcome of a client's attempt.
func (l *lab) count(outcome string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent[outcome]++
}

// outcomes returns the counted outcomes.
func (l *lab) outcomes() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var texts []string
	for outcome, n := range l.sent {
		texts = append(texts, fmt.Sprintf("%s: %d", outcome, n))
	}
	sort.Strings(texts)
	return strings.Join(texts, ", ")
}
