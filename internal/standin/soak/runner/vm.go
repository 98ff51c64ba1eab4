package runner

import (
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

	"github.com/juju/errors"

	"github.com/sassafrasspur/sassafrasspur/internal/standin/soak/proxy"
)

const (
	// startTimeout limits the time in which a VM must start.
	startTimeout = 10 * time.Second
	// logTailLines is the number of log lines in the report of an unclean stop.
	logTailLines = 40
)

// vm is an entry VM, run as a separate process.
type vm struct {
	name             string
	binary           string
	settingsPath     string
	logPath          string
	requestsAddress  string
	readinessAddress string
	// store is the proxy through which the VM reaches the store.
	store *proxy.Proxy

	mu      sync.Mutex
	process *exec.Cmd
	done    chan struct{}
	exitErr error
	// startCount is the number of processes started so far.
	startCount int
}

const (
	// firstPort and portCount define the port range of VMs. It lies below the
	// ephemeral ports, so that no outgoing connection takes the port of a VM that
	// is down.
	firstPort = 20_000
	portCount = 12_000
)

// nextPort is the offset of the next port. It is shared by all VMs, so that they
// get different ports.
var nextPort = func() *atomic.Uint32 {
	var n atomic.Uint32
	n.Store(rand.Uint32N(portCount))
	return &n
}()

// freeAddress returns an unused address on the loopback interface.
func freeAddress() (string, error) {
	var lastErr error
	for range 50 {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort.Add(1)%portCount))
		if err == nil {
			return l.Addr().String(), errors.Trace(l.Close())
		}
		lastErr = err
	}
	return "", errors.Annotate(lastErr, "find free address")
}

// newVM returns a VM that reaches its store through a proxy, and writes its
// settings.
func newVM(dir, binary, name, domain, storeAddress string) (*vm, error) {
	var addresses [5]string
	for i := range addresses {
		address, err := freeAddress()
		if err != nil {
			return nil, err
		}
		addresses[i] = address
	}
	store, err := proxy.New(storeAddress)
	if err != nil {
		return nil, err
	}
	v := &vm{
		name: name, binary: binary, settingsPath: filepath.Join(dir, name+".toml"), logPath: filepath.Join(dir, name+".log"),
		requestsAddress: addresses[0], readinessAddress: addresses[1], store: store,
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
	return v, errors.Trace(os.WriteFile(v.settingsPath, []byte(text), 0o600))
}

// start starts the process without waiting for it to respond.
func (v *vm) start() error {
	out, err := os.OpenFile(v.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = out.Close() }()
	process := exec.Command(v.binary, "--settings", v.settingsPath)
	process.Stdout, process.Stderr = out, out
	if err := process.Start(); err != nil {
		return errors.Annotatef(err, "start %s", v.name)
	}
	done := make(chan struct{})
	v.mu.Lock()
	v.process, v.done = process, done
	v.startCount++
	v.mu.Unlock()
	go func() {
		err := process.Wait()
		v.mu.Lock()
		v.exitErr = err
		v.mu.Unlock()
		close(done)
	}()
	return nil
}

// restart starts the process and waits until it responds.
func (v *vm) restart() error {
	if err := v.start(); err != nil {
		return err
	}
	return v.awaitResponse()
}

// awaitReady waits until the VM reports that it is ready for requests.
func (v *vm) awaitReady() error {
	return v.await(func(status int) bool { return status == http.StatusOK })
}

// awaitResponse waits until the process responds. Until then it may not have
// installed its signal handlers, and a signal would end it at once.
func (v *vm) awaitResponse() error {
	return v.await(func(status int) bool { return status != 0 })
}

func (v *vm) await(isExpected func(status int) bool) error {
	v.mu.Lock()
	done := v.done
	v.mu.Unlock()
	deadline := time.Now().Add(startTimeout)
	for time.Now().Before(deadline) {
		select {
		case <-done:
			return errors.Errorf("%s ended before it answered: %v", v.name, v.wait())
		default:
		}
		status := 0
		if response, err := http.Get("http://" + v.readinessAddress + "/api/readyz"); err == nil {
			_ = response.Body.Close()
			status = response.StatusCode
		}
		if isExpected(status) {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return errors.Errorf("%s did not start within %s", v.name, startTimeout)
}

// signal sends a signal to the VM's process. A process that has ended or was
// never started is no error.
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

// logTail returns the last lines of the log of the VM's processes.
func (v *vm) logTail() string {
	text, err := os.ReadFile(v.logPath)
	if err != nil {
		return err.Error()
	}
	lines := strings.SplitAfter(string(text), "\n")
	return strings.Join(lines[max(0, len(lines)-logTailLines):], "")
}

// wait waits until the process has ended and returns its exit error. It returns
// nil for a VM that was never started.
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
	return v.exitErr
}
