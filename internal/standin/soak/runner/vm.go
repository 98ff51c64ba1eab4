package runner

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/sassafrasspur/sassafrasspur/internal/standin/soak/proxier"
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

const (
	// firstPort and ports bound the ports of VMs. They lie below those that the
	// system gives to outgoing connections, which could take a port of a VM
	// that is down.
	firstPort = 20_000
	ports     = 12_000
)

// nextPort is the offset of the next port, so that no two VMs have the same.
var nextPort = func() *atomic.Uint32 {
	var n atomic.Uint32
	n.Store(rand.Uint32N(ports))
	return &n
}()

// freeAddress returns an address of the loopback interface that is free.
func freeAddress() (string, error) {
	var last error
	for range 50 {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort.Add(1)%ports))
		if err == nil {
			return l.Addr().String(), errors.Trace(l.Close())
		}
		last = err
	}
	return "", errors.Annotate(last, "find a free address")
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
	v := &vm{
		name: name, binary: binary, settings: filepath.Join(dir, name+".toml"), log: filepath.Join(dir, name+".log"),
		callers: addresses[0], readiness: addresses[1], store: store,
	}
	text := fmt.Sprintf(`vm = %q
domain = %q
region = "region"
metrics_address = %q
peer_address = %q
[platform]
store_address = %q
[ingress]
requests = %q
readiness = %q
directory = %q
grace = "8s"
[regions]
a = "region"
b = "region"
`, name, domain, addresses[3], addresses[4], store.Address(), addresses[0], addresses[1], addresses[2])
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

// restart starts the process and waits until it answers.
func (v *vm) restart() error {
	if err := v.start(); err != nil {
		return err
	}
	return v.awaitUp()
}

// awaitReady waits until the VM serves callers.
func (v *vm) awaitReady() error {
	return v.await(func(status int) bool { return status == http.StatusOK })
}

// awaitUp waits until the process answers. Before that a signal may end it at
// once, as it ends any program that has not asked for it yet.
func (v *vm) awaitUp() error {
	return v.await(func(status int) bool { return status != 0 })
}

func (v *vm) await(enough func(status int) bool) error {
	v.mu.Lock()
	done := v.done
	v.mu.Unlock()
	deadline := time.Now().Add(readyLimit)
	for time.Now().Before(deadline) {
		select {
		case <-done:
			return errors.Errorf("%s ended before it answered: %v", v.name, v.wait())
		default:
		}
		status := 0
		if response, err := http.Get("http://" + v.readiness + "/api/readyz"); err == nil {
			_ = response.Body.Close()
			status = response.StatusCode
		}
		if enough(status) {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return errors.Errorf("%s did not start within %s", v.name, readyLimit)
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

// wait waits until the process has ended and returns its exit. A VM that was never
// started has none.
func (v *vm) wait() error {
	v.mu.Lock()
	done := v.done
	v.mu.Unlock()
	if done == nil {
		return nil
	}
	<-done
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.exit
}
