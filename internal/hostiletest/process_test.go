package hostiletest

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sassafrasspur/sassafrasspur"
	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/linewriter"
	"github.com/sassafrasspur/sassafrasspur/internal/loader"
	"github.com/sassafrasspur/sassafrasspur/internal/rows"
	"github.com/sassafrasspur/sassafrasspur/internal/standin/replica"
	"github.com/sassafrasspur/sassafrasspur/internal/standin/rowserver"
	"github.com/sassafrasspur/sassafrasspur/internal/standin/rowstore"
)

// linkedPackages references the packages of the daemon, which the tests build
// themselves, so that the go command's test cache depends on them.
var linkedPackages = []any{sassafrasspur.New, linewriter.New, loader.New}

const (
	// maxResidentMB is the memory of the smallest VMs in use.
	maxResidentMB = 112
	// maxDescriptors is half of the descriptors of the smallest VMs in use; the other
	// half is for upstreams, the store and other VMs.
	maxDescriptors = 3075 / 2
	// maxBodyBytes and maxHeaderBytes are the limits of the configurations in use.
	maxBodyBytes   = 4 << 20
	maxHeaderBytes = 16 << 10
	// answerTimeout ends the wait for the answer to an ordinary request, whose timing is
	// not under test.
	answerTimeout = 60 * time.Second
	// largeAnswerPath is the prefix of requests that are answered with largeAnswerBytes.
	largeAnswerPath  = "/look/large"
	largeAnswerBytes = 7 << 19
)

// binary is the built daemon.
var binary string

func TestMain(m *testing.M) { os.Exit(runTests(m)) }

func runTests(m *testing.M) int {
	directory, err := os.MkdirTemp("", "hostiletest")
	if err != nil || len(linkedPackages) == 0 {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(directory) }()
	binary = filepath.Join(directory, "sassafrasspurd")
	if output, err := exec.Command("go", "build", "-o", binary, "../../cmd/sassafrasspurd").CombinedOutput(); err != nil {
		fmt.Fprintln(os.Stderr, string(output))
		return 1
	}
	return m.Run()
}

// vm is a process of an entry VM.
type vm struct {
	g       *WithT
	command *exec.Cmd
	exited  chan struct{}
	// bound has the addresses of the first log line.
	bound struct {
		Callers   string `json:"caller_address"`
		Requests  string `json:"request_address"`
		Readiness string `json:"readiness_address"`
		Directory string `json:"directory_address"`
		Metrics   string `json:"metrics_address"`
		Peers     string `json:"peer_address"`
	}
	requests int
}

const settingsText = `vm = "vm-1"
region = "region"
domain = "domain"
caller_address = "127.0.0.1:0"
peer_address = "127.0.0.1:0"
metrics_address = "127.0.0.1:0"
log_level = "warn"

[platform]
store_address = %q

[ingress]
requests = "127.0.0.1:0"
readiness = "127.0.0.1:0"
directory = "127.0.0.1:0"

[regions]
domain = "region"

[[accounts]]
id = "caller"
token = "caller-token-0123456789"
team = "team"
role = "caller"
`

// startVM starts an entry VM, its store and a service, and waits until an ordinary
// request is answered.
func startVM(t *testing.T) *vm {
	g := NewWithT(t)
	store := rowstore.New()
	storeServer := httptest.NewServer(rowserver.New(store).Handler())
	t.Cleanup(storeServer.Close)
	service := httptest.NewServer(withLargeAnswers(replica.New("service")))
	t.Cleanup(service.Close)
	put(g, store, "op", "config", configuration())
	put(g, store, "servers", "service", map[string]any{
		"service": "services", "address": service.Listener.Addr().String(), "zone": "domain", "slots": 400,
		"state": "ready", "version": "v1", "coldRemainingMs": 0, "seq": 1,
	})
	file := filepath.Join(t.TempDir(), "settings.toml")
	g.Expect(os.WriteFile(file, fmt.Appendf(nil, settingsText, storeServer.Listener.Addr()), 0o600)).To(Succeed())
	v := &vm{g: g, command: exec.Command(binary, "--settings", file), exited: make(chan struct{})}
	output, err := v.command.StdoutPipe()
	g.Expect(err).NotTo(HaveOccurred())
	v.command.Stderr = os.Stderr
	g.Expect(v.command.Start()).To(Succeed())
	reader := bufio.NewReader(output)
	line, err := reader.ReadBytes('\n')
	go func() {
		_, _ = io.Copy(io.Discard, reader)
		_ = v.command.Wait()
		close(v.exited)
	}()
	t.Cleanup(func() {
		_ = v.command.Process.Kill()
		<-v.exited
	})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(json.Unmarshal(line, &v.bound)).To(Succeed())
	v.expectAnswer()
	return v
}

func configuration() any {
	route := func(name, kind string) map[string]any {
		return map[string]any{
			"name": name, "hostname": "example.test", "prefix": "/" + name + "/", "routeKind": kind,
			"timeoutMs": 5000, "maxAttempts": 1, "service": "services",
		}
	}
	plan := route("plan", "streaming")
	plan["retained"] = true
	return map[string]any{
		"version":  1,
		"routes":   []any{route("file", "non_idempotent"), route("look", "idempotent"), plan},
		"services": []any{map[string]any{"name": "services", "maxConns": 400}},
		"limits":   map[string]any{"maxHeaderBytes": maxHeaderBytes, "maxBodyBytes": maxBodyBytes, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

func put(g *WithT, store *rowstore.Rowstore, table rows.Table, key rows.Key, value any) {
	encoded, err := json.Marshal(value)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = store.Commit(context.Background(), rows.Transaction{Puts: []rows.Put{{ID: rows.ID{Table: table, Key: key}, Value: encoded}}})
	g.Expect(err).NotTo(HaveOccurred())
}

// withLargeAnswers answers requests below largeAnswerPath, and those for answers without
// end, in place of a replica.
func withLargeAnswers(r *replica.Replica) http.Handler {
	large := make([]byte, largeAnswerBytes)
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		answer, isEndless := endlessAnswers[request.URL.Path]
		if !isEndless && request.URL.Path != longTurnPath && !strings.HasPrefix(request.URL.Path, largeAnswerPath) {
			r.ServeHTTP(w, request)
			return
		}
		w.Header().Set("X-Attempt-Id", request.Header.Get("X-Attempt-Id"))
		w.Header().Set("X-Server-Signature", "signature")
		if request.URL.Path == longTurnPath {
			writeShortStream(w, request)
			return
		}
		if isEndless {
			answer.write(w)
			return
		}
		w.Header().Set("Content-Length", strconv.Itoa(len(large)))
		_, _ = w.Write(large)
	})
}

// send sends one request on a connection of its own and returns the status, 0 if there
// is no answer.
func (v *vm) send(method, path string, body io.Reader) int {
	v.requests++
	request, err := http.NewRequest(method, "http://"+v.bound.Requests+path, body)
	v.g.Expect(err).NotTo(HaveOccurred())
	request.Header.Set("X-Attempt-Id", string(ident.RequestID(fmt.Sprint("ordinary-", v.requests))))
	return statusOf(request)
}

// statusOf sends a request on a connection of its own and returns the status, 0 if there is
// no whole answer.
func statusOf(request *http.Request) int {
	request.Host, request.Close = "example.test", true
	response, err := (&http.Client{Timeout: answerTimeout}).Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// expectAnswer waits until an ordinary request is answered.
func (v *vm) expectAnswer() {
	v.g.Eventually(func() int { return v.send(http.MethodGet, "/look/x", http.NoBody) }, answerTimeout, 100*time.Millisecond).
		Should(Equal(http.StatusOK), "an ordinary request must be answered")
}

// expectSound checks the process while the crowd holds its connections.
func (v *vm) expectSound(t *testing.T) {
	v.settle()
	descriptors := v.countDescriptors()
	v.expectAnswer()
	v.g.Expect(v.exited).NotTo(BeClosed(), "the process must live")
	resident := v.statusMB("VmHWM:")
	t.Logf("measured: peak resident memory %d MB, %d descriptors", resident, descriptors)
	v.g.Expect(resident).To(BeNumerically("<=", maxResidentMB), "peak resident memory in MB")
	v.g.Expect(descriptors).To(BeNumerically("<=", maxDescriptors), "open descriptors")
}

// settle waits until the process has taken in what the crowd sent: until its memory and
// descriptors stay the same for a second. A busy machine may need longer than the wait,
// so that the test then sees less memory than the process takes, and never more.
func (v *vm) settle() {
	const polls, still = 150, 10
	var last [2]int
	unchanged := 0
	for range polls {
		now := [2]int{v.statusMB("VmRSS:"), v.countDescriptors()}
		if unchanged++; now != last {
			unchanged, last = 0, now
		}
		if unchanged == still {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func (v *vm) countDescriptors() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", v.command.Process.Pid))
	v.g.Expect(err).NotTo(HaveOccurred(), "the process must live")
	return len(entries)
}

// statusMB returns a figure of the process's status in megabytes: VmRSS is its resident
// memory, VmHWM the largest so far.
func (v *vm) statusMB(name string) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", v.command.Process.Pid))
	v.g.Expect(err).NotTo(HaveOccurred())
	_, text, found := strings.Cut(string(status), name)
	v.g.Expect(found).To(BeTrue())
	kilobytes, err := strconv.Atoi(strings.Fields(text)[0])
	v.g.Expect(err).NotTo(HaveOccurred())
	return kilobytes >> 10
}
