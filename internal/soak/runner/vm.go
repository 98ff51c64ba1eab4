package runner

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/sassafrasspur/sassafrasspur/internal/soak/proxier"
)

// readyLimit bounds the start of a VM.
const readyLimit = 10 * time.Second

// vm is one entry VM, a process of its own.
type vm struct {
	name      string
	binary    string
	settings  string
	log       string
	callers   string
	readiness string
	store     *proxier.Proxier

	mu      sync.Mutex
	process *exec.Cmd
	done    chan struct{}
	exit    error
	// started counts the processes.
	started int
}

// freeAddress returns an address of the loopback interface that was free.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Annotate(err, "find a free address")
	}
	return l.Addr().String(), errors.Trace(l.Close())
}

// newVM writes the settings of a VM whose store is behind a proxy.
func newVM(dir, binary, name, domain, storeAddress string) (*vm, error) {
	var addresses [5]string
	for i := range addresses {
		address, err := freeAddress()
		if err != nil {
			return nil, err
		}
		addresses[i] = address
	}
	store, err := proxier.New(storeAddress)
	if err != nil {
		return nil, err
	}
	_, port, err := net.SplitHostPort(addresses[4])
	if err != nil {
		return nil, errors.Trace(err)
	}
	v := &vm{
		name: name, binary: binary, settings: filepath.Join(dir, name+".toml"), log: filepath.Join(dir, name+".log"),
		callers: addresses[0], readiness: addresses[1], store: store,
	}
	text := fmt.Sprintf(`vm = %q
failure_domain = %q
region = "region"
callers_address = %q
readiness_address = %q
directory_address = %q
metrics_address = %q
peer_ip = "127.0.0.1"
peer_ports = [%s, %s]
grace = "6s"
store_address = %q
[regions]
a = "region"
b = "region"
`, name, domain, addresses[0], addresses[1], addresses[2], addresses[3], port, port, store.Address())
	return v, errors.Trace(os.WriteFile(v.settings, []byte(text), 0o600))
}

// start starts the process.
func (v *vm) start() error {
	out, err := os.OpenFile(v.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = out.Close() }()
	process := exec.Command(v.binary, "--settings", v.settings)
	process.Stdout, process.Stderr = out, out
	if err := process.Start(); err != nil {
		return errors.Annotatef(err, "start %s", v.name)
	}
	done := make(chan struct{})
	v.mu.Lock()
	v.process, v.done = process, done
	v.started++
	v.mu.Unlock()
	go func() {
		err := process.Wait()
		v.mu.Lock()
		v.exit = err
		v.mu.Unlock()
		close(done)
	}()
	return nil
}

// awaitReady waits until the VM serves callers.
func (v *vm) awaitReady() error {
	deadline := time.Now().Add(readyLimit)
	for time.Now().Before(deadline) {
		response, err := http.Get("http://" + v.readiness + "/api/readyz")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return errors.Errorf("%s was not ready after %s", v.name, readyLimit)
}

// signal sends a signal to the process that this VM started.
func (v *vm) signal(s syscall.Signal) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.process == nil {
		return nil
	}
	err := v.process.Process.Signal(s)
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return errors.Annotatef(err, "signal %s", v.name)
}

// wait waits until the process has ended and returns its exit.
func (v *vm) wait() error {
	v.mu.Lock()
	done := v.done
	v.mu.Unlock()
	<-done
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.exit
}
