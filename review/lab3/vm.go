package main

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// daemon is the command of the deploy file, started in the root of the repository.
const daemon = "target/sassafrasspurd"

// vm is a machine: a process of the daemon.
type vm struct {
	lab                 *lab
	name, zone, file    string
	requests, readiness string
	memoryMB            int
	// clients paces what clients send.
	clients link

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	stopped bool
	// starts counts the starts of the process, ends those ends that nobody asked for.
	starts int
	ends   int
}

// settings has what the platform makes of deploy/settings.toml.tmpl.
const settings = `vm = %q
domain = %q
region = %q
peer_address = %q
metrics_address = %q
memory = %d
descriptors = 8200

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
kk-a = "sabah"
kch-a = "sarawak"
`

var regions = map[string]string{"kl-a": "semenanjung", "kk-a": "sabah", "kch-a": "sarawak"}

func (l *lab) newVM(name, zone string, memoryMB int) (*vm, error) {
	ports, err := freePorts(5)
	if err != nil {
		return nil, err
	}
	storeAddress, err := l.store.serve()
	if err != nil {
		return nil, err
	}
	v := &vm{lab: l, name: name, zone: zone, requests: ports[2], readiness: ports[3], memoryMB: memoryMB, file: filepath.Join(l.dir, name+".toml")}
	text := fmt.Sprintf(settings, name, zone, regions[zone], ports[0], ports[1], memoryMB, storeAddress, ports[2], ports[3], ports[4])
	if err := os.WriteFile(v.file, []byte(text), 0o600); err != nil {
		return nil, err
	}
	return v, v.start()
}

func (v *vm) start() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.stopped {
		return nil
	}
	log, err := os.OpenFile(filepath.Join(v.lab.dir, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(daemon)
	command.Env = append(os.Environ(), "SASSAFRASSPUR_SETTINGS="+v.file)
	if v.lab.oneCore {
		command.Env = append(command.Env, "GOMAXPROCS=1")
	}
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	v.starts++
	v.command, v.exited = command, make(chan struct{})
	exited := v.exited
	v.lab.record("start", "%s, start %d, requests at %s", v.name, v.starts, v.requests)
	go func() {
		err := command.Wait()
		_ = log.Close()
		v.mu.Lock()
		stopped := v.stopped
		if !stopped {
			v.ends++
		}
		v.mu.Unlock()
		v.lab.record("end", "%s: %v", v.name, err)
		close(exited)
		if !stopped {
			// The platform starts a process again after a short delay.
			time.Sleep(500 * time.Millisecond)
			if err := v.start(); err != nil {
				v.lab.record("error", "%s: %v", v.name, err)
			}
		}
	}()
	return nil
}

// stop ends the process for good.
func (v *vm) stop() {
	v.mu.Lock()
	v.stopped = true
	command, exited := v.command, v.exited
	v.mu.Unlock()
	if command != nil {
		_ = command.Process.Kill()
		<-exited
	}
}

func (v *vm) awaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + v.readiness + "/api/readyz")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.New(v.name + " is not ready")
}

// anonymous returns the memory of the process in bytes without the pages of its files, 0
// if it has none.
func (v *vm) anonymous() int64 {
	v.mu.Lock()
	command := v.command
	v.mu.Unlock()
	if command == nil {
		return 0
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", command.Process.Pid))
	if err != nil {
		return 0
	}
	_, rest, ok := strings.Cut(string(text), "RssAnon:")
	fields := strings.Fields(rest)
	if !ok || len(fields) == 0 {
		return 0
	}
	kb, err := strconv.ParseInt(fields[0], 10, 64)
	if err != nil {
		return 0
	}
	return kb << 10
}

// limitMemory kills the process whenever it exceeds the memory of its machine, as the
// platform does, until the channel is closed.
func (v *vm) limitMemory(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(5 * time.Millisecond):
		}
		if bytes := v.anonymous(); bytes > int64(v.memoryMB)<<20 {
			v.lab.record("memory", "%s holds %d MB of %d, and is killed", v.name, bytes>>20, v.memoryMB)
			v.mu.Lock()
			command, exited := v.command, v.exited
			v.mu.Unlock()
			_ = command.Process.Kill()
			<-exited
		}
	}
}

// killed returns how often the process ended although nobody stopped it.
func (v *vm) killed() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.ends
}
