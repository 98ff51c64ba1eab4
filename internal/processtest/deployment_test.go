package processtest

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sassafrasspur/sassafrasspur/gen/status"
	"github.com/sassafrasspur/sassafrasspur/internal/client"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
)

const (
	callerToken   = "caller-token-0123456789"
	operatorToken = "operator-token-0123456789"
	team          = "padang_bersama"
)

// Short settings, so that each spec takes seconds.
const (
	retention           = time.Second
	firstByteTimeout    = time.Second
	betweenBytesTimeout = time.Second
	maxViewAge          = 5 * time.Second
)

// failureDetectionTime is the time after which the other VMs consider a process
// dead: three intervals of 0.75 s of the list of entry VMs, and two more until the
// list has been read twice.
const failureDetectionTime = 4 * time.Second

// callerTimeout is the time without data after which a caller sends a request to
// another VM. It is longer than first_byte of the settings and the store timeout of
// 2 s together.
const callerTimeout = 4 * time.Second

var timers = timer.New()

// deployment is a running system: the platform's store, upstreams and entry VMs.
type deployment struct {
	store    *process
	engines  *process
	services *process
	vms      []*vm
	// serviceAddresses and engineAddresses are the upstream addresses in the
	// configuration.
	serviceAddresses []string
	engineAddresses  []string
}

// vm is one entry VM, whose process can be restarted.
type vm struct {
	*process
	name     string
	settings string
	address  string
}

// topology configures the parts of a deployment and the proxies between them.
type topology struct {
	vms          int
	serviceFlags []string
	engineFlags  []string
	// maxUpstreamAge overrides maxViewAge, the limit on the age of the view of an
	// upstream.
	maxUpstreamAge time.Duration
	// proxyEngine maps the address of an engine to the one in the configuration.
	proxyEngine func(address string) string
	// proxyStore maps the address of the store to the one in the settings of a VM.
	proxyStore func(vm int, address string) string
}

// deploy starts all processes, confirms a configuration and waits until it is in
// force on every VM and all upstreams are usable.
func deploy(ctx context.Context, s topology) *deployment {
	GinkgoHelper()
	d := &deployment{}
	d.services = start("services", "sassafrasspur-standin", append([]string{"service", "--listen", "127.0.0.1:0", "--listen", "127.0.0.1:0", "--run-ms", "20"}, s.serviceFlags...)...)
	d.engines = start("engines", "sassafrasspur-standin", append([]string{"engine", "--listen", "127.0.0.1:0", "--listen", "127.0.0.1:0", "--decode-ms", "5"}, s.engineFlags...)...)
	d.serviceAddresses = d.services.addresses("service")
	for _, address := range d.engines.addresses("engine") {
		if s.proxyEngine != nil {
			address = s.proxyEngine(address)
		}
		d.engineAddresses = append(d.engineAddresses, address)
	}
	arguments := []string{"store"}
	for _, address := range append(d.serviceAddresses, d.engineAddresses...) {
		arguments = append(arguments, "--server", address)
	}
	d.store = start("store", "sassafrasspur-standin", arguments...)
	for i := range s.vms {
		d.vms = append(d.vms, d.newVM(i, s))
	}
	d.confirm(ctx, d.initialIntent())
	d.waitUntilReady(ctx)
	return d
}

// waitUntilReady waits until every VM is healthy, lists all VMs and can use all
// upstreams.
func (d *deployment) waitUntilReady(ctx context.Context) {
	GinkgoHelper()
	Eventually(ctx, func() error {
		for _, v := range d.vms {
			s, err := d.status(ctx, v)
			if err != nil {
				return err
			}
			if s.UpstreamsUsable != 4 || s.VmsLive != len(d.vms) || !s.Healthy {
				return fmt.Errorf("%s is not ready: %+v", v.name, *s)
			}
		}
		return nil
	}).Should(Succeed())
}

func (d *deployment) newVM(i int, s topology) *vm {
	GinkgoHelper()
	store := d.storeAddress()
	if s.proxyStore != nil {
		store = s.proxyStore(i, store)
	}
	regions := []string{"semenanjung", "sabah", "sarawak"}
	v := &vm{name: fmt.Sprintf("vm-%02d", i+1)}
	v.settings = filepath.Join(binaries, fmt.Sprintf("%s-%d.toml", v.name, d.store.command.Process.Pid))
	Expect(os.WriteFile(v.settings, []byte(renderSettings(v.name, regions[i%3], store, cmp.Or(s.maxUpstreamAge, maxViewAge))), 0o600)).To(Succeed())
	v.startProcess()
	return v
}

// startProcess starts the VM's process. A restarted process binds the same caller
// address, because callers may still hold it.
func (v *vm) startProcess() {
	GinkgoHelper()
	if v.address != "" {
		content, err := os.ReadFile(v.settings)
		Expect(err).NotTo(HaveOccurred())
		kept := strings.Replace(string(content), `caller_address = "127.0.0.1:0"`, fmt.Sprintf("caller_address = %q", v.address), 1)
		Expect(os.WriteFile(v.settings, []byte(kept), 0o600)).To(Succeed())
	}
	v.process = start(v.name, "sassafrasspurd", "--settings", v.settings)
	bound := v.addresses("caller_address")[0]
	if v.address == "" {
		v.address = bound
	}
	// Other goroutines read the address, which therefore isn't written again.
	Expect(bound).To(Equal(v.address))
}

func (d *deployment) storeAddress() string { return d.store.addresses("store")[0] }

func renderSettings(name, region, store string, views time.Duration) string {
	return fmt.Sprintf(`vm = %q
region = %q
domain = "%[2]s-a"
caller_address = "127.0.0.1:0"
log_level = "warn"

[platform]
store_address = "%s"

[freshness]
upstreams = "%s"
interval = "500ms"

[addresses]
retention = "%s"

[limits]
call_time = "10s"
first_byte = "%s"
between_bytes = "%s"
queue_wait = "2s"
drain = "10s"

[[accounts]]
id = "caller"
token = "%s"
team = "%s"
role = "caller"

[[accounts]]
id = "operator"
token = "%s"
team = "%[9]s"
role = "operator"
`, name, region, store, views, retention, firstByteTimeout, betweenBytesTimeout, callerToken, team, operatorToken)
}

func (d *deployment) initialIntent() string {
	var b strings.Builder
	fmt.Fprintf(&b, "[[intent]]\nkind = \"create_team\"\nid = %q\nmax_tokens = 10000000\nmax_calls = 100000\n\n", team)
	b.WriteString("[[intent]]\nkind = \"create_class\"\nid = \"chat\"\nrank = 1\n\n")
	b.WriteString("[[intent]]\nkind = \"create_pool\"\nid = \"assistant\"\npool_kind = \"engine\"\n\n")
	b.WriteString("[[intent]]\nkind = \"create_pool\"\nid = \"counter\"\npool_kind = \"service\"\nidempotent = [\"look_up\"]\nlook_up = true\n\n")
	upstream := func(id, pool, address string) {
		fmt.Fprintf(&b, "[[intent]]\nkind = \"create_upstream\"\nid = %q\npool = %q\nteam = %q\naddress = %q\nregion = \"sabah\"\ndomain = \"sabah-a\"\nslots = 200\n\n",
			id, pool, team, address)
	}
	for i, address := range d.serviceAddresses {
		upstream(fmt.Sprintf("counter-%d", i+1), "counter", address)
	}
	for i, address := range d.engineAddresses {
		upstream(fmt.Sprintf("assistant-%d", i+1), "assistant", address)
	}
	return b.String()
}

// clientFor returns a client of the given VMs that tries each VM at most once per
// request.
func clientFor(token string, vms ...*vm) *client.Client {
	var servers []string
	for _, v := range vms {
		servers = append(servers, v.address)
	}
	return client.New(servers, token, timers, client.WithMaxRounds(1), client.WithIdleTimeout(callerTimeout))
}

func (d *deployment) status(ctx context.Context, v *vm) (*status.ShowResult, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	return clientFor(operatorToken, v).Status(ctx)
}

// confirm plans and confirms an intent at the first VM and returns the new
// configuration version.
func (d *deployment) confirm(ctx context.Context, intent string) uint64 {
	GinkgoHelper()
	var version uint64
	Eventually(ctx, func() error {
		plan, err := clientFor(operatorToken, d.vms[0]).CreatePlan(ctx, intent)
		if err != nil {
			return err
		}
		confirmed, err := clientFor(operatorToken, d.vms[0]).ConfirmPlan(ctx, plan.Plan)
		if err != nil {
			return err
		}
		version = confirmed.NewVersion
		return nil
	}).Should(Succeed())
	return version
}

// otherVMs returns all VMs except the excluded one.
func (d *deployment) otherVMs(excluded *vm) []*vm {
	var remainingVMs []*vm
	for _, v := range d.vms {
		if v != excluded {
			remainingVMs = append(remainingVMs, v)
		}
	}
	return remainingVMs
}

// setFaults sets the given faults of a stand-in.
func setFaults(address string, set map[string]any) {
	GinkgoHelper()
	body, err := json.Marshal(set)
	Expect(err).NotTo(HaveOccurred())
	response, err := http.Post("http://"+address+"/standin/faults", "application/json", bytes.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	Expect(response.StatusCode).To(Equal(http.StatusOK))
}

// setStoreFaults sets the given faults of the store.
func (d *deployment) setStoreFaults(set map[string]any) {
	GinkgoHelper()
	setFaults(d.storeAddress(), set)
}

// getJSON decodes the JSON response of a stand-in into a value.
func getJSON(address, path string, into any) error {
	response, err := http.Get("http://" + address + path)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	return json.Unmarshal(content, into)
}

// serviceCounts returns the number of arrivals and runs at all services, keyed by
// program/call.
func (d *deployment) serviceCounts() (arrivals, runs map[string]int) {
	GinkgoHelper()
	arrivals, runs = map[string]int{}, map[string]int{}
	for _, address := range d.serviceAddresses {
		var c struct{ Arrivals, Runs map[string]int }
		Expect(getJSON(address, "/standin/arrivals", &c)).To(Succeed())
		for key, n := range c.Arrivals {
			arrivals[key] += n
		}
		for key, n := range c.Runs {
			runs[key] += n
		}
	}
	return arrivals, runs
}
