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

// Settings that are short, so that the cases take seconds.
const (
	retention    = time.Second
	firstByte    = time.Second
	betweenBytes = time.Second
	viewLimit    = 5 * time.Second
)

// goneTime is the time after which the other VMs take a process for gone: three
// intervals of 0.75 s of the list of entry VMs, and two until it is read twice.
const goneTime = 4 * time.Second

// silence is the time after which a caller sends a request elsewhere. It is
// longer than the first_byte of the settings and the wait for the store, 2 s.
const silence = 4 * time.Second

var timers = timer.New()

// deployment is a platform, upstreams and entry VMs.
type deployment struct {
	store    *process
	engines  *process
	services *process
	vms      []*vm
	// serviceAddresses are those of the configuration.
	serviceAddresses []string
	engineAddresses  []string
}

// vm is one entry VM, whose process may be replaced.
type vm struct {
	*process
	name     string
	settings string
	address  string
}

// shape says what a deployment has and where its parts are reached.
type shape struct {
	vms      int
	services []string
	engines  []string
	// views replaces the usual limit on the age of the view of an upstream.
	views time.Duration
	// reach replaces the addresses of engines in the configuration.
	reach func(address string) string
	// storeOf replaces the address of the store in the settings of a VM.
	storeOf func(vm int, address string) string
}

// deploy starts everything, confirms a configuration and waits until every VM
// has it and may use all upstreams.
func deploy(ctx context.Context, s shape) *deployment {
	GinkgoHelper()
	d := &deployment{}
	d.services = start("services", "sassafrasspur-standin", append([]string{"service", "--listen", "127.0.0.1:0", "--listen", "127.0.0.1:0", "--run-ms", "20"}, s.services...)...)
	d.engines = start("engines", "sassafrasspur-standin", append([]string{"engine", "--listen", "127.0.0.1:0", "--listen", "127.0.0.1:0", "--decode-ms", "5"}, s.engines...)...)
	d.serviceAddresses = d.services.addresses("service")
	for _, address := range d.engines.addresses("engine") {
		if s.reach != nil {
			address = s.reach(address)
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
	d.confirm(ctx, d.intent())
	d.settle(ctx)
	return d
}

// settle waits until all VMs are listed and have the same configuration and
// usable upstreams.
func (d *deployment) settle(ctx context.Context) {
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

func (d *deployment) newVM(i int, s shape) *vm {
	GinkgoHelper()
	store := d.storeAddress()
	if s.storeOf != nil {
		store = s.storeOf(i, store)
	}
	regions := []string{"semenanjung", "sabah", "sarawak"}
	v := &vm{name: fmt.Sprintf("vm-%02d", i+1)}
	v.settings = filepath.Join(binaries, fmt.Sprintf("%s-%d.toml", v.name, d.store.command.Process.Pid))
	Expect(os.WriteFile(v.settings, []byte(settingsOf(v.name, regions[i%3], store, cmp.Or(s.views, viewLimit))), 0o600)).To(Succeed())
	v.run()
	return v
}

// run starts the VM's process. Later runs keep the address for callers, which
// may have it from before.
func (v *vm) run() {
	GinkgoHelper()
	if v.address != "" {
		content, err := os.ReadFile(v.settings)
		Expect(err).NotTo(HaveOccurred())
		kept := strings.Replace(string(content), `caller_address = "127.0.0.1:0"`, fmt.Sprintf("caller_address = %q", v.address), 1)
		Expect(os.WriteFile(v.settings, []byte(kept), 0o600)).To(Succeed())
	}
	v.process = start(v.name, "sassafrasspurd", "--settings", v.settings)
	v.address = v.addresses("caller_address")[0]
}

func (d *deployment) storeAddress() string { return d.store.addresses("store")[0] }

func settingsOf(name, region, store string, views time.Duration) string {
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
`, name, region, store, views, retention, firstByte, betweenBytes, callerToken, team, operatorToken)
}

func (d *deployment) intent() string {
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

// at returns a client of one VM that sends each request once.
func at(token string, vms ...*vm) *client.Client {
	var servers []string
	for _, v := range vms {
		servers = append(servers, v.address)
	}
	return client.New(servers, token, timers, client.WithRounds(1), client.WithIdleTimeout(silence))
}

func (d *deployment) status(ctx context.Context, v *vm) (*status.ShowResult, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	return at(operatorToken, v).Status(ctx)
}

// confirm puts an intent in force through the first VM and returns the version.
func (d *deployment) confirm(ctx context.Context, intent string) uint64 {
	GinkgoHelper()
	var version uint64
	Eventually(ctx, func() error {
		plan, err := at(operatorToken, d.vms[0]).CreatePlan(ctx, intent)
		if err != nil {
			return err
		}
		confirmed, err := at(operatorToken, d.vms[0]).ConfirmPlan(ctx, plan.Plan)
		if err != nil {
			return err
		}
		version = confirmed.NewVersion
		return nil
	}).Should(Succeed())
	return version
}

// others returns all VMs but one.
func (d *deployment) others(without *vm) []*vm {
	var rest []*vm
	for _, v := range d.vms {
		if v != without {
			rest = append(rest, v)
		}
	}
	return rest
}

// faults sets faults of a stand-in.
func faults(address string, set map[string]any) {
	GinkgoHelper()
	body, err := json.Marshal(set)
	Expect(err).NotTo(HaveOccurred())
	response, err := http.Post("http://"+address+"/standin/faults", "application/json", bytes.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	Expect(response.StatusCode).To(Equal(http.StatusOK))
}

// storeFaults replaces the faults of the store.
func (d *deployment) storeFaults(set map[string]any) {
	GinkgoHelper()
	faults(d.storeAddress(), set)
}

// fetch reads a JSON answer of a stand-in.
func fetch(address, path string, into any) error {
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

// counted returns the arrivals and runs of all services by program and call.
func (d *deployment) counted() (arrivals, runs map[string]int) {
	GinkgoHelper()
	arrivals, runs = map[string]int{}, map[string]int{}
	for _, address := range d.serviceAddresses {
		var c struct{ Arrivals, Runs map[string]int }
		Expect(fetch(address, "/standin/arrivals", &c)).To(Succeed())
		for key, n := range c.Arrivals {
			arrivals[key] += n
		}
		for key, n := range c.Runs {
			runs[key] += n
		}
	}
	return arrivals, runs
}
