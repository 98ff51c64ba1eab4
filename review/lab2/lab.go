package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/sassafrasspur/sassafrasspur/internal/rows"
	"github.com/sassafrasspur/sassafrasspur/internal/standin/rowserver"
	"github.com/sassafrasspur/sassafrasspur/internal/standin/rowstore"
)

const (
	host = "town.example"
	zone = "kl-a"
	// memoryMB and descriptors are those of the machines of padang-permit.
	memoryMB    = 144
	descriptors = 8200
	// heartbeat is the interval at which replicas write to the store.
	heartbeat = 1200 * time.Millisecond
)

// setupError ends a case that could not run.
type setupError string

func fail(format string, arguments ...any) { panic(setupError(fmt.Sprintf(format, arguments...))) }

func must(err error, what string) {
	if err != nil {
		fail("%s: %v", what, err)
	}
}

// lab is the platform of one case: the store, replicas and entry VMs.
type lab struct {
	trouble   bool
	started   time.Time
	directory string
	store     *rowstore.Rowstore
	address   string

	mu     sync.Mutex
	record *os.File
	vms    []*vm
	once   sync.Once
	done   chan struct{}
}

func newLab(record string, trouble bool) (*lab, error) {
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	directory, err := os.MkdirTemp("", "lab2-")
	if err != nil {
		return nil, err
	}
	l := &lab{trouble: trouble, started: time.Now(), directory: directory, store: rowstore.New(), record: file, done: make(chan struct{})}
	l.address, err = serve(rowserver.New(l.store).Handler())
	l.note("trouble: %v", trouble)
	return l, err
}

// note writes a line to the record and to the standard output.
func (l *lab) note(format string, arguments ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	line := fmt.Sprintf("%8.3f %s\n", time.Since(l.started).Seconds(), fmt.Sprintf(format, arguments...))
	// The record is closed only when the case ends.
	_, _ = l.record.WriteString(line)
	fmt.Print(line)
}

// close ends all processes that the case started.
func (l *lab) close() {
	l.once.Do(func() {
		close(l.done)
		l.mu.Lock()
		vms := l.vms
		l.mu.Unlock()
		for _, v := range vms {
			v.end()
		}
		_ = os.RemoveAll(l.directory)
		_ = l.record.Close()
	})
}

// serve starts an HTTP server on a free loopback port and returns its address.
func serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(linkedListener{listener}) }()
	return listener.Addr().String(), nil
}

// put writes a row without a part, as the operator and the replicas do.
func (l *lab) put(table rows.Table, key rows.Key, value any) {
	encoded, err := json.Marshal(value)
	must(err, "encode a row")
	_, err = l.store.Commit(context.Background(), rows.Transaction{
		Puts: []rows.Put{{ID: rows.ID{Table: table, Key: key}, Value: encoded}},
	})
	must(err, "write a row")
}

type object = map[string]any

// route returns a route of the configuration with the values of the small deployments.
func route(name, prefix, kind, service string, attempts, timeoutMs int, more object) object {
	r := object{
		"name": name, "hostname": host, "prefix": prefix, "routeKind": kind, "timeoutMs": timeoutMs, "targetLatencyMs": 1000,
		"priority": 1, "service": service, "maxAttempts": attempts, "retained": false, "retentionS": 60.0, "sticky": false, "resumable": false,
	}
	for key, value := range more {
		r[key] = value
	}
	return r
}

// configure writes the operator's configuration.
func (l *lab) configure(version int, routes []object, services []object) {
	l.put("op", "config", object{
		"version": version, "routes": routes, "services": services,
		"limits": object{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
}

func service(name string) object {
	return object{"name": name, "healthPath": "/healthz", "maxConns": 370, "protocol": "h1", "tlsEnabled": false}
}

func engineService(name string) object {
	s := service(name)
	s["engine"] = object{
		"slots": 64, "kvCapacityTokens": 221617, "kvTokenBytes": 163840, "linkMbps": 260000.0, "moves": true, "backups": true,
		"chunkTokens": 2, "most": 12, "pinMs": 4000.0, "holdMs": 2000.0, "handle_s": 5.0, "models": []object{{"name": "m"}},
	}
	return s
}

// register writes the entry of a replica at each heartbeat. started returns the time of its
// last start, and false while it is down.
func (l *lab) register(id, service, address string, slots int, started func() (time.Time, bool)) {
	write := func(seq int, born time.Time) {
		l.put("servers", rows.Key(id), object{
			"service": service, "address": address, "zone": zone, "version": "v1", "slots": slots, "state": "ready",
			"coldRemainingMs": 0, "seq": seq, "born": born.UnixMilli(),
		})
	}
	born, _ := started()
	write(1, born)
	go func() {
		for seq := 2; ; seq++ {
			select {
			case <-l.done:
				return
			case <-time.After(heartbeat):
			}
			now, up := started()
			if !up {
				continue
			}
			if !now.Equal(born) {
				born, seq = now, 1
			}
			write(seq, born)
		}
	}()
}

// startedNow is the start of a replica that does not end.
func startedNow() func() (time.Time, bool) {
	now := time.Now()
	return func() (time.Time, bool) { return now, true }
}

// vm is the process of an entry VM.
type vm struct {
	name     string
	requests string
	settings string
	log      *os.File

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	// ended is set when the case ends: the process is not started again.
	ended bool
}

func freeAddress() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err, "find a free port")
	address := listener.Addr().String()
	must(listener.Close(), "free a port")
	return address
}

// maxStarts is how often an entry VM is started until its ports are free: another process
// may take one between its choice and the start.
const maxStarts = 5

// startVM starts an entry VM with the settings that the deploy file's template gives and
// waits until it is ready.
func (l *lab) startVM(n int) *vm {
	for range maxStarts {
		v := &vm{name: fmt.Sprintf("edge-%s-%d", zone, n)}
		readiness := l.configureVM(v)
		v.start()
		l.mu.Lock()
		l.vms = append(l.vms, v)
		l.mu.Unlock()
		if v.awaitReady(readiness) {
			l.note("%s serves requests at %s, process %d", v.name, v.requests, v.pid())
			return v
		}
	}
	fail("an entry VM does not start")
	return nil
}

// configureVM writes the settings of an entry VM and returns its readiness address.
func (l *lab) configureVM(v *vm) string {
	readiness := freeAddress()
	v.requests = freeAddress()
	text := fmt.Sprintf(`vm = %q
domain = %q
region = "semenanjung"
peer_address = %q
metrics_address = %q
memory = %d
descriptors = %d

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
kl-a = "semenanjung"
`, v.name, zone, freeAddress(), freeAddress(), memoryMB, descriptors, l.address, v.requests, readiness, freeAddress())
	v.settings = filepath.Join(l.directory, v.name+".toml")
	must(os.WriteFile(v.settings, []byte(text), 0o600), "write settings")
	log, err := os.Create(filepath.Join(l.directory, v.name+".log"))
	must(err, "create a log")
	v.log = log
	return readiness
}

// start starts the process with the command of the deploy file, unless the case has ended.
func (v *vm) start() {
	command := exec.Command("target/sassafrasspurd")
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SASSAFRASSPUR_SETTINGS=" + v.settings}
	command.Stdout, command.Stderr = v.log, v.log
	exited := make(chan struct{})
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.ended {
		return
	}
	must(command.Start(), "start an entry VM")
	v.command, v.exited = command, exited
	go func() {
		_ = command.Wait()
		close(exited)
	}()
}

// end ends the process for good.
func (v *vm) end() {
	v.mu.Lock()
	v.ended = true
	v.mu.Unlock()
	v.kill()
}

func (v *vm) pid() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.command.Process.Pid
}

// kill ends the process that this case started and waits for its end.
func (v *vm) kill() {
	v.mu.Lock()
	command, exited := v.command, v.exited
	v.mu.Unlock()
	if command == nil {
		return
	}
	_ = command.Process.Signal(syscall.SIGKILL)
	<-exited
}

// hasExited reports whether the process ended.
func (v *vm) hasExited() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	select {
	case <-v.exited:
		return true
	default:
		return false
	}
}

// residentMB returns the memory of the process, 0 if it has ended.
func (v *vm) residentMB() int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", v.pid()))
	if err != nil {
		return 0
	}
	for line := range bytes.Lines(status) {
		if value, ok := strings.CutPrefix(string(line), "VmRSS:"); ok {
			kilobytes, _ := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(value), " kB"))
			return kilobytes / 1024
		}
	}
	return 0
}

// awaitReady waits until the process answers that it is ready. It reports false if the
// process has ended.
func (v *vm) awaitReady(address string) bool {
	client := &http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if v.hasExited() {
			return false
		}
		response, err := client.Get("http://" + address + "/api/readyz")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return true
		}
	}
	fail("an entry VM is not ready after 20 s")
	return false
}
