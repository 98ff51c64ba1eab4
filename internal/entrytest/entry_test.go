package entrytest

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sassafrasspur/sassafrasspur"
	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/goldentest"
	"github.com/sassafrasspur/sassafrasspur/internal/rows"
	"github.com/sassafrasspur/sassafrasspur/internal/settings"
	"github.com/sassafrasspur/sassafrasspur/internal/standin/replica"
	"github.com/sassafrasspur/sassafrasspur/internal/standin/rowkeeper"
	"github.com/sassafrasspur/sassafrasspur/internal/standin/rowserver"
)

// deployment is a store, two engines, two services and entry VMs.
type deployment struct {
	log *vmLog
	// grace is the time that entry VMs have to stop.
	grace    time.Duration
	keeper   *rowkeeper.Rowkeeper
	store    *httptest.Server
	replicas map[ident.UpstreamID]*replica.Replica
	vms      []*vm
	servers  []*httptest.Server
	client   *http.Client
}

// vm is an entry VM that runs until stop is called.
type vm struct {
	settings settings.Settings
	stop     context.CancelFunc
	done     chan error
}

func newDeployment(t *testing.T, g *WithT, vms int) *deployment {
	return newDeploymentWithGrace(t, g, vms, 4*time.Second)
}

func newDeploymentWithGrace(t *testing.T, g *WithT, vms int, grace time.Duration) *deployment {
	d := &deployment{log: &vmLog{}, grace: grace, keeper: rowkeeper.New(), replicas: map[ident.UpstreamID]*replica.Replica{}, client: &http.Client{}}
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(d.log.last())
		}
	})
	d.store = httptest.NewServer(rowserver.New(d.keeper).Handler())
	d.write(g, "op", "config", configuration(1))
	for i := range 2 {
		d.add(g, ident.UpstreamID(fmt.Sprint("engine-", i)), "engines", replica.New(ident.UpstreamID(fmt.Sprint("engine-", i)), replica.WithEvents(3)))
		d.add(g, ident.UpstreamID(fmt.Sprint("service-", i)), "services", replica.New(ident.UpstreamID(fmt.Sprint("service-", i))))
	}
	for i := range vms {
		d.start(g, fmt.Sprint("vm-", i))
	}
	// VMs that know each other agree on who holds the budget of a program.
	for _, of := range d.vms {
		for _, other := range d.vms {
			g.Eventually(func() string { return d.resolve(g, of) }, 5*time.Second, 50*time.Millisecond).
				Should(ContainSubstring(other.settings.Ingress.Requests.String()))
		}
	}
	return d
}

// resolve asks an entry VM where to connect.
func (d *deployment) resolve(g *WithT, v *vm) string {
	response, err := d.client.Get("http://" + v.settings.Ingress.Directory.String() + "/api/resolve?zone=domain&region=region")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	g.Expect(err).NotTo(HaveOccurred())
	return string(text)
}

// configuration is the operator's row with routes of each kind.
func configuration(version int) any {
	route := func(name, kind, pool string, more map[string]any) map[string]any {
		r := map[string]any{
			"name": name, "hostname": "example.test", "prefix": "/" + name + "/", "routeKind": kind,
			"timeoutMs": 3000, "maxAttempts": 2, "service": pool,
		}
		for key, value := range more {
			r[key] = value
		}
		return r
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			route("file", "non_idempotent", "services", nil),
			route("look", "idempotent", "services", nil),
			route("ask", "streaming", "engines", map[string]any{"resumable": true, "sticky": true}),
			route("chat", "streaming", "engines", map[string]any{"retained": true, "retentionS": 60, "sticky": true}),
		},
		"services": []any{
			map[string]any{"name": "services", "maxConns": 110},
			map[string]any{"name": "engines", "maxConns": 370, "engine": map[string]any{"slots": 64, "chunkTokens": 2}},
		},
		"limits": map[string]any{"maxBodyBytes": 1000000, "idleTimeoutMs": 15000},
	}
}

func (d *deployment) write(g *WithT, table rows.Table, key rows.Key, value any) {
	encoded, err := json.Marshal(value)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = d.keeper.Commit(context.Background(), rows.Transaction{
		Puts: []rows.Put{{ID: rows.ID{Table: table, Key: key}, Value: encoded}},
	})
	g.Expect(err).NotTo(HaveOccurred())
}

func (d *deployment) add(g *WithT, id ident.UpstreamID, pool string, r *replica.Replica) {
	server := httptest.NewServer(r)
	d.servers = append(d.servers, server)
	d.replicas[id] = r
	d.write(g, "servers", rows.Key(id), map[string]any{
		"service": pool, "address": server.Listener.Addr().String(), "zone": "domain", "slots": 4, "state": "ready",
	})
}

// stateLimit is the bound of the known deployments on upstreams that leave and on
// routes.
const stateLimit = 2500 * time.Millisecond

// freeAddress returns an address of the loopback interface that was free.
func freeAddress(g *WithT) netip.AddrPort {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { g.Expect(l.Close()).To(Succeed()) }()
	return netip.MustParseAddrPort(l.Addr().String())
}

func (d *deployment) start(g *WithT, name string) {
	s := settings.Settings{
		VM: ident.VMID(name), Domain: "domain", Region: "region", Regions: map[ident.Domain]ident.Region{"domain": "region"},
		PeerAddress: freeAddress(g), MetricsAddress: freeAddress(g),
		Ingress:  settings.Ingress{Requests: freeAddress(g), Readiness: freeAddress(g), Directory: freeAddress(g), Grace: d.grace, DrainLimit: stateLimit, RoutesLimit: stateLimit},
		Platform: settings.Platform{StoreAddress: netip.MustParseAddrPort(d.store.Listener.Addr().String())},
	}
	node, err := sassafrasspur.New(sassafrasspur.WithSettings(s), sassafrasspur.WithLog(d.log))
	g.Expect(err).NotTo(HaveOccurred())
	ctx, stop := context.WithCancel(context.Background())
	v := &vm{settings: s, stop: stop, done: make(chan error, 1)}
	go func() { v.done <- node.Run(ctx) }()
	d.vms = append(d.vms, v)
	g.Eventually(func() int { return d.status("http://" + s.Ingress.Readiness.String() + "/api/readyz") }, 5*time.Second, 20*time.Millisecond).Should(Equal(200))
}

func (d *deployment) status(url string) int {
	response, err := d.client.Get(url)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode
}

func (d *deployment) close(g *WithT) {
	for _, v := range d.vms {
		v.stop()
	}
	for _, v := range d.vms {
		g.Expect(<-v.done).To(Succeed(), "%s stops cleanly", v.settings.VM)
	}
	for _, server := range d.servers {
		server.Close()
	}
	d.store.Close()
}

// send sends a request to an entry VM and returns the status and the body.
func (d *deployment) send(v *vm, method, path string, header map[string]string, body string) string {
	request, err := http.NewRequest(method, "http://"+v.settings.Ingress.Requests.String()+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return err.Error()
	}
	request.Host = "example.test"
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := d.client.Do(request)
	if err != nil {
		return "no answer"
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	out := fmt.Sprintf("%d %s", response.StatusCode, strings.Join(strings.Fields(string(text)), " "))
	if response.StatusCode == http.StatusOK && response.Header.Get("X-Server-Signature") == "" {
		out += " UNSIGNED"
	}
	if err != nil {
		out += " cut"
	}
	return out
}

// behaviour makes all replicas treat the next request in some way, and serve
// the following ones.
func (d *deployment) behaviour(name string) {
	behaviours := map[string]replica.Behaviour{"shed": replica.Shed{}, "break": replica.Break{After: 1}, "garble": replica.Garble{}, "hang": replica.Hang{}, "error": replica.Err{}}
	var used atomic.Bool
	for _, r := range d.replicas {
		r.Decide(func(replica.Run) replica.Behaviour {
			if b := behaviours[name]; b != nil && !used.Swap(true) {
				return b
			}
			return replica.Serve{}
		})
	}
}

// received is the body of the last run of a request, and how often it ran.
func (d *deployment) received(id string) string {
	runs, body := 0, ""
	for _, r := range d.replicas {
		for _, run := range r.Runs() {
			if string(run.Request) == id {
				runs++
				body = run.Body
			}
		}
	}
	return fmt.Sprintf("runs=%d received=%q", runs, body)
}

// decide sends one request of a golden session, to the entry VMs in turn.
func (d *deployment) decide() func(line string) string {
	n := 0
	return func(line string) string {
		f := goldentest.Parse(line)
		n++
		id := fmt.Sprintf("request-%d", n)
		header := map[string]string{"X-Attempt-Id": id, "X-Deadline-Ms": "2000"}
		for name, key := range map[string]string{
			"X-Program-Id": "program", "X-Token-Budget": "budget", "X-Previous-Turn": "previous",
			"X-Token-Usage": "tokens", "Kv-From": "forged", "X-Expect-Instance": "forged",
		} {
			if f.Has(key) {
				header[name] = f[key]
			}
		}
		d.behaviour(f["replicas"])
		method := http.MethodPost
		if f.Has("get") {
			method = http.MethodGet
		}
		answer := d.send(d.vms[n%len(d.vms)], method, "/"+f["path"], header, f["body"])
		return id + ": " + answer + " " + d.received(id)
	}
}

// Guards against answers that are changed, cut or mixed on the way, requests
// that run twice, budgets that are overspent and histories that are lost, on the
// whole path with two entry VMs.
func TestEntrySession(t *testing.T) {
	g := NewWithT(t)
	d := newDeployment(t, g, 2)
	defer d.close(g)
	g.Expect(goldentest.Check("testdata/*.txtar", d.decide())).To(Succeed())
}

// Guards against a version of the routes that is not taken over, and one that
// reverts.
func TestEntryFollowsRoutes(t *testing.T) {
	g := NewWithT(t)
	d := newDeployment(t, g, 1)
	defer d.close(g)
	look := func() string {
		return d.send(d.vms[0], http.MethodGet, "/look/x", map[string]string{"X-Attempt-Id": "look"}, "")[:3]
	}
	g.Expect(look()).To(Equal("200"))
	d.write(g, "op", "config", map[string]any{"version": 5, "routes": []any{}})
	g.Eventually(look, 2*time.Second, 20*time.Millisecond).Should(Equal("404"))
	d.write(g, "op", "config", configuration(4))
	g.Consistently(look, 500*time.Millisecond, 50*time.Millisecond).Should(Equal("404"))
}

// Guards against a request that is cut by a stop, and a leaving VM that callers
// are still sent to. The grace is that of the known deployments; in a shorter one
// a request of 3 s that comes 1 s after the request to stop can't be finished.
func TestEntryLeaves(t *testing.T) {
	g := NewWithT(t)
	d := newDeploymentWithGrace(t, g, 2, 8*time.Second)
	defer d.close(g)
	resolve := func() string { return d.resolve(g, d.vms[1]) }
	d.vms[0].stop()
	for i := range 40 {
		answer := d.send(d.vms[0], http.MethodGet, "/look/x", map[string]string{"X-Attempt-Id": fmt.Sprint("leaving-", i)}, "")
		g.Expect(answer).To(HavePrefix("200"))
		time.Sleep(50 * time.Millisecond)
	}
	g.Eventually(resolve, 3*time.Second, 50*time.Millisecond).ShouldNot(ContainSubstring(d.vms[0].settings.Ingress.Requests.String()))
	g.Expect(d.status("http://" + d.vms[0].settings.Ingress.Readiness.String() + "/api/readyz")).NotTo(Equal(200))
	g.Expect(<-d.vms[0].done).To(Succeed())
	d.vms[0].done <- nil
}
