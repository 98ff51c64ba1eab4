// Package lab runs entry VMs as separate processes on loopback addresses, with
// stand-ins for the platform's store, the replicas and the callers around them.
package lab

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sassafrasspur/sassafrasspur/internal/rows"
	"github.com/sassafrasspur/sassafrasspur/internal/standin/rowserver"
	"github.com/sassafrasspur/sassafrasspur/internal/standin/rowstore"
)

// Exit codes of a case.
const (
	ExitHeld   = 0
	ExitBroken = 1
	ExitNotRun = 2
)

// Host is the host name of all routes.
const Host = "loket.example"

// firstPort and portCount define the ports of the processes. They lie below the
// ephemeral ports.
const (
	firstPort = 20_000
	portCount = 12_000
)

var nextPort atomic.Uint32

// FreeAddress returns an unused loopback address.
func FreeAddress() (string, error) {
	var last error
	for range 200 {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort.Add(1)%portCount))
		if err == nil {
			return l.Addr().String(), l.Close()
		}
		last = err
	}
	return "", last
}

// Zones has the zones of the small deployment and their regions.
var Zones = []Zone{{"noord-a", "noord"}, {"midden-a", "midden"}, {"zuid-a", "zuid"}}

// Zone is a failure domain.
type Zone struct{ Name, Region string }

// Lab is one deployment.
type Lab struct {
	// Trouble is false if the case runs without its disruption.
	Trouble bool
	Store   *rowstore.Rowstore
	VMs     []*VM

	binary       string
	dir          string
	storeAddress string
	started      time.Time
	ctx          context.Context
	stop         context.CancelFunc

	mu     sync.Mutex
	record *os.File
}

// VM is one entry VM.
type VM struct {
	Name, Zone string
	// Requests and Directory are the addresses for callers.
	Requests, Directory string

	settings, log string
	mu            sync.Mutex
	process       *exec.Cmd
}

// Run runs a case in the folder of its script and exits with its result. The play
// returns whether the rule was broken.
func Run(play func(l *Lab) (broken bool, err error)) {
	os.Exit(run(play))
}

func run(play func(l *Lab) (bool, error)) int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: CASE DAEMON FOLDER")
		return ExitNotRun
	}
	nextPort.Store(rand.Uint32N(portCount))
	l, err := open(os.Args[1], os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitNotRun
	}
	defer l.close()
	broken, err := play(l)
	switch {
	case err != nil:
		l.Note("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return ExitNotRun
	case broken:
		return ExitBroken
	}
	return ExitHeld
}

func open(binary, folder string) (*Lab, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	l := &Lab{
		Trouble: os.Getenv("TROUBLE") != "0", Store: rowstore.New(), binary: binary, dir: dir,
		started: time.Now(), record: record,
	}
	l.ctx, l.stop = context.WithCancel(context.Background())
	l.storeAddress, err = l.Serve(rowserver.New(l.Store).Handler())
	return l, err
}

// close ends all processes that were started.
func (l *Lab) close() {
	l.stop()
	for _, v := range l.VMs {
		v.Signal(syscall.SIGCONT)
		v.Kill()
	}
	_ = os.RemoveAll(l.dir)
	_ = l.record.Close()
}

// Note adds a line with the time since the start to the record of the case.
func (l *Lab) Note(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, _ = fmt.Fprintf(l.record, "%8.3f %s\n", time.Since(l.started).Seconds(), fmt.Sprintf(format, args...))
}

// Say adds a line to the record and prints it.
func (l *Lab) Say(format string, args ...any) {
	l.Note(format, args...)
	fmt.Printf(format+"\n", args...)
}

// Serve serves a handler on a free address until the process ends.
func (l *Lab) Serve(handler http.Handler) (string, error) {
	listener, err := l.Listen()
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(listener, handler) }()
	return listener.Addr().String(), nil
}

// Listen listens on a free address.
func (l *Lab) Listen() (net.Listener, error) {
	address, err := FreeAddress()
	if err != nil {
		return nil, err
	}
	return net.Listen("tcp", address)
}

// StartVMs starts entry VMs, which are spread over the zones in turn.
func (l *Lab) StartVMs(count int) error {
	for i := range count {
		zone := Zones[i%len(Zones)]
		v := &VM{Name: fmt.Sprintf("edge-%s-%d", zone.Name, i/len(Zones)+1), Zone: zone.Name}
		if err := l.configure(v, zone); err != nil {
			return err
		}
		l.VMs = append(l.VMs, v)
		if err := l.Start(v); err != nil {
			return err
		}
	}
	return nil
}

// configure writes the settings of a VM as the template of the deploy file has them.
func (l *Lab) configure(v *VM, zone Zone) error {
	var addresses [5]string
	for i := range addresses {
		address, err := FreeAddress()
		if err != nil {
			return err
		}
		addresses[i] = address
	}
	v.Requests, v.Directory = addresses[0], addresses[1]
	v.settings, v.log = filepath.Join(l.dir, v.Name+".toml"), filepath.Join(l.dir, v.Name+".log")
	var regions strings.Builder
	for _, z := range Zones {
		fmt.Fprintf(&regions, "%s = %q\n", z.Name, z.Region)
	}
	return os.WriteFile(v.settings, fmt.Appendf(nil, `vm = %q
domain = %q
region = %q
peer_address = %q
metrics_address = %q

[platform]
store_address = %q

[ingress]
requests = %q
readiness = %q
directory = %q
grace = "8s"
drain_limit = "2500ms"
routes_limit = "2500ms"

[regions]
%s`, v.Name, zone.Name, zone.Region, addresses[2], addresses[3], l.storeAddress, v.Requests, addresses[4], v.Directory, regions.String()), 0o600)
}

// Start starts the process of a VM.
func (l *Lab) Start(v *VM) error {
	out, err := os.OpenFile(v.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	process := exec.Command(l.binary)
	process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + l.dir, "SASSAFRASSPUR_SETTINGS=" + v.settings}
	process.Stdout, process.Stderr = out, out
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	v.mu.Lock()
	defer v.mu.Unlock()
	if err := process.Start(); err != nil {
		return err
	}
	v.process = process
	l.Note("%s started with process %d", v.Name, process.Process.Pid)
	return nil
}

// Signal sends a signal to the process of a VM.
func (v *VM) Signal(signal syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.process != nil {
		// The process may have ended by itself.
		_ = v.process.Process.Signal(signal)
	}
}

// Kill kills the process of a VM and waits for its end.
func (v *VM) Kill() {
	v.Signal(syscall.SIGKILL)
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.process != nil {
		// The status of a killed process is of no interest.
		_ = v.process.Wait()
		v.process = nil
	}
}

// Log returns what the processes of a VM wrote.
func (v *VM) Log() string {
	text, err := os.ReadFile(v.log)
	if err != nil {
		return err.Error()
	}
	return string(text)
}

// Route is a route of the configuration.
type Route struct {
	Name            string  `json:"name"`
	Hostname        string  `json:"hostname"`
	Prefix          string  `json:"prefix"`
	RouteKind       string  `json:"routeKind"`
	TimeoutMs       int     `json:"timeoutMs"`
	TargetLatencyMs int     `json:"targetLatencyMs"`
	Priority        int     `json:"priority"`
	Service         string  `json:"service"`
	MaxAttempts     int     `json:"maxAttempts"`
	Retained        bool    `json:"retained"`
	RetentionS      float64 `json:"retentionS,omitempty"`
	Sticky          bool    `json:"sticky"`
	Resumable       bool    `json:"resumable"`
	TargetGapMs     int     `json:"targetGapMs,omitempty"`
}

// ChatRoute returns a route of retained turns.
func ChatRoute(name, prefix, service string) Route {
	return Route{
		Name: name, Hostname: Host, Prefix: prefix, RouteKind: "streaming", TimeoutMs: 6000, TargetLatencyMs: 300,
		Service: service, MaxAttempts: 2, Retained: true, RetentionS: 60, Sticky: true, TargetGapMs: 250,
	}
}

// Configure writes a configuration, as the operator does, and returns when the store
// has acknowledged it.
func (l *Lab) Configure(version int, routes []Route, services []map[string]any) error {
	value, err := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	if err != nil {
		return err
	}
	if err := l.put(rows.ID{Table: "op", Key: "config"}, value); err != nil {
		return err
	}
	l.Note("the operator's configuration %d is acknowledged", version)
	return nil
}

func (l *Lab) put(id rows.ID, value []byte) error {
	_, err := l.Store.Commit(context.Background(), rows.Transaction{Puts: []rows.Put{{ID: id, Value: value}}})
	return err
}

const heartbeat = 1200 * time.Millisecond

// Registration is the entry of a replica in the store, which the replica renews.
type Registration struct {
	lab  *Lab
	mu   sync.Mutex
	key  rows.ID
	seq  int
	gone bool
	// fields has the entry without its number.
	fields map[string]any
}

// Register registers a replica and renews its entry until the case ends or the replica
// leaves.
func (l *Lab) Register(id, service, address, zone string, slots int) (*Registration, error) {
	r := &Registration{lab: l, key: rows.ID{Table: "servers", Key: rows.Key(id)}, fields: map[string]any{
		"service": service, "address": address, "zone": zone, "version": "v1", "slots": slots, "state": "ready",
		"coldRemainingMs": 0, "born": time.Now().UnixMilli(),
	}}
	if err := r.write(); err != nil {
		return nil, err
	}
	go func() {
		for l.ctx.Err() == nil {
			time.Sleep(heartbeat)
			// The store is in this process and refuses nothing.
			_ = r.write()
		}
	}()
	return r, nil
}

func (r *Registration) write() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.gone {
		return nil
	}
	r.seq++
	r.fields["seq"] = r.seq
	value, err := json.Marshal(r.fields)
	if err != nil {
		return err
	}
	return r.lab.put(r.key, value)
}

// Drain reports that the replica leaves. The store has accepted the report when it
// returns.
func (r *Registration) Drain() error {
	r.mu.Lock()
	r.fields["state"] = "draining"
	r.mu.Unlock()
	return r.write()
}

// Remove removes the entry of a replica that has left.
func (r *Registration) Remove() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gone = true
	_, err := r.lab.Store.Commit(context.Background(), rows.Transaction{Removes: []rows.ID{r.key}})
	return err
}

// Stop stops renewing the entry, as a crashed replica does.
func (r *Registration) Stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gone = true
}

// Restart registers a new process of the replica under the same id.
func (r *Registration) Restart() error {
	r.mu.Lock()
	r.gone, r.seq = false, 0
	r.fields["state"], r.fields["born"] = "ready", time.Now().UnixMilli()
	r.mu.Unlock()
	return r.write()
}

// AwaitReady waits until the directory of each VM lists all VMs of its zone.
func (l *Lab) AwaitReady() error {
	inZone := map[string]int{}
	for _, v := range l.VMs {
		inZone[v.Zone]++
	}
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, v := range l.VMs {
			if len(l.resolveAt(v, v.Zone)) >= inZone[v.Zone] {
				ready++
			}
		}
		if ready == len(l.VMs) {
			l.Note("all %d entry VMs are listed", ready)
			return nil
		}
	}
	return fmt.Errorf("the entry VMs did not become ready; the log of the first: %s", l.VMs[0].Log())
}

// Ended reports whether the process of a VM has ended by itself.
func (v *VM) Ended() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.process == nil {
		return false
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", v.process.Process.Pid))
	_, state, ok := strings.Cut(string(text), ") ")
	return err == nil && ok && strings.HasPrefix(state, "Z")
}
