package capacitytest

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sassafrasspur/sassafrasspur/gen/programs"
	"github.com/sassafrasspur/sassafrasspur/internal/client"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
)

const (
	idleFor = 6 * time.Second
	loadFor = 6 * time.Second
	// callers are the programs that run one call after the other.
	callers = 24
	changes = 10
	// tickSeconds is the unit of processor time in /proc.
	tickSeconds = 0.01
)

// deployment is a set of entry VMs that scripts/capacity has started.
type deployment struct {
	servers  []string
	pids     []string
	stand    string
	operator *client.Client
}

// BenchmarkDeployment measures processes that scripts/capacity starts. It is
// passed by without them.
func BenchmarkDeployment(b *testing.B) {
	d := deployment{
		servers: strings.Fields(os.Getenv("SPUR_CAPACITY_SERVERS")),
		pids:    strings.Fields(os.Getenv("SPUR_CAPACITY_PIDS")),
		stand:   os.Getenv("SPUR_CAPACITY_PLATFORM"),
	}
	if len(d.servers) == 0 {
		b.Skip("scripts/capacity starts the processes")
	}
	upstreams := strings.Fields(os.Getenv("SPUR_CAPACITY_UPSTREAMS"))
	d.operator = d.client("operator")
	if err := d.configure(intent(upstreams)); err != nil {
		b.Fatal(err)
	}
	time.Sleep(4 * time.Second)
	name := fmt.Sprintf("vms=%d/upstreams=%d", len(d.servers), len(upstreams))
	b.Run("state=idle/"+name, func(b *testing.B) { d.observe(b, func() int { time.Sleep(idleFor); return 0 }) })
	b.Run("state=loaded/"+name, func(b *testing.B) { d.observe(b, func() int { return d.drive(b) }) })
	b.Run("state=change/"+name, func(b *testing.B) { d.change(b) })
}

func (d *deployment) client(role string, servers ...string) *client.Client {
	if len(servers) == 0 {
		servers = d.servers
	}
	return client.New(servers, "capacity-"+role+"-token", timer.New())
}

func intent(upstreams []string) string {
	text := "[[intent]]\nkind = \"create_team\"\nid = \"team\"\nmax_tokens = 1000000000\nmax_calls = 1000000\n\n" +
		"[[intent]]\nkind = \"create_class\"\nid = \"chat\"\nrank = 1\n\n" +
		"[[intent]]\nkind = \"create_pool\"\nid = \"pool\"\npool_kind = \"engine\"\n\n"
	for i, address := range upstreams {
		text += fmt.Sprintf("[[intent]]\nkind = \"create_upstream\"\nid = \"engine-%d\"\npool = \"pool\"\nteam = \"team\"\naddress = %q\nregion = \"r\"\ndomain = \"d\"\nslots = 16\n\n", i, address)
	}
	return text
}

func (d *deployment) configure(intent string) error {
	ctx := context.Background()
	plan, err := d.operator.CreatePlan(ctx, intent)
	if err != nil {
		return err
	}
	_, err = d.operator.ConfirmPlan(ctx, plan.Plan)
	return err
}

// change measures the time from the confirmation of a plan until all VMs have
// its configuration. A VM is asked each 10 ms.
func (d *deployment) change(b *testing.B) {
	var took []float64
	for i := range changes {
		ctx := context.Background()
		plan, err := d.operator.CreatePlan(ctx, fmt.Sprintf("[[intent]]\nkind = \"create_class\"\nid = \"class-%d-%d\"\nrank = 2\n", i, time.Now().UnixNano()))
		if err != nil {
			b.Fatal(err)
		}
		start := time.Now()
		if _, err := d.operator.ConfirmPlan(ctx, plan.Plan); err != nil {
			b.Fatal(err)
		}
		var wait sync.WaitGroup
		for _, server := range d.servers {
			wait.Go(func() {
				for c := d.client("operator", server); ; time.Sleep(10 * time.Millisecond) {
					if s, err := c.Status(ctx); err == nil && s.ConfigurationVersion >= plan.NewVersion {
						return
					}
				}
			})
		}
		wait.Wait()
		took = append(took, time.Since(start).Seconds()*1000)
	}
	slices.Sort(took)
	b.ReportMetric(took[len(took)/2], "ms-median")
	b.ReportMetric(took[len(took)-1], "ms-max")
}

// drive runs calls of short programs for a time and returns their number.
func (d *deployment) drive(b *testing.B) int {
	counts := make([]int, callers)
	until := time.Now().Add(loadFor)
	var wait sync.WaitGroup
	for i := range callers {
		wait.Go(func() {
			ctx := context.Background()
			c := d.client("caller", d.servers[i%len(d.servers)])
			id := fmt.Sprintf("load-%d-%d", i, time.Now().UnixNano())
			budget := &programs.Budget{Calls: 100000, Tokens: 100000000, Seconds: 3600}
			if _, err := c.Open(ctx, programs.OpenPayload{Program: id, Class: "chat", Budget: budget}); err != nil {
				b.Error(err)
				return
			}
			for position := 1; time.Now().Before(until); position++ {
				p := programs.CallPayload{Program: id, CallID: fmt.Sprintf("%s-%d", id, position), Position: position, Pool: "pool", Body: "book the green", MaxTokens: 8, FirstSubmission: true}
				if err := c.Call(ctx, p, func(*programs.Event) error { return nil }); err != nil {
					b.Error(err)
					return
				}
				counts[i]++
			}
		})
	}
	wait.Wait()
	total := 0
	for _, count := range counts {
		total += count
	}
	return total
}

// observe reports what processes and platform did while run ran.
func (d *deployment) observe(b *testing.B, run func() int) {
	before, start := d.read(b), time.Now()
	calls := run()
	seconds, after := time.Since(start).Seconds(), d.read(b)
	for _, name := range []string{"reads", "writes", "objects_read", "objects_written", "refused"} {
		b.ReportMetric((after[name]-before[name])/seconds, name+"/s")
	}
	vms := float64(len(d.pids))
	b.ReportMetric(float64(calls)/seconds, "calls/s")
	b.ReportMetric((after["received"]-before["received"])/seconds/vms, "received-bytes/s/vm")
	b.ReportMetric((after["sent"]-before["sent"])/seconds/vms, "sent-bytes/s/vm")
	b.ReportMetric((after["ticks"]-before["ticks"])*tickSeconds/seconds/vms*100, "core-percent/vm")
	b.ReportMetric(after["rss"]/vms/1024, "MB/vm")
}

// read sums the counters of the platform and of all entry VMs.
func (d *deployment) read(b *testing.B) map[string]float64 {
	counters := map[string]float64{}
	response, err := http.Get("http://" + d.stand + "/standin/stats")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if err := json.NewDecoder(response.Body).Decode(&counters); err != nil {
		b.Fatal(err)
	}
	for _, pid := range d.pids {
		counters["received"] += field(b, pid, "io", "rchar:")
		counters["sent"] += field(b, pid, "io", "wchar:")
		counters["rss"] += field(b, pid, "status", "VmRSS:")
		stat, err := os.ReadFile("/proc/" + pid + "/stat")
		if err != nil {
			b.Fatal(err)
		}
		_, rest, _ := strings.Cut(string(stat), ") ")
		fields := strings.Fields(rest)
		for _, text := range fields[11:13] {
			ticks, _ := strconv.ParseFloat(text, 64)
			counters["ticks"] += ticks
		}
	}
	return counters
}

func field(b *testing.B, pid, file, key string) float64 {
	content, err := os.ReadFile("/proc/" + pid + "/" + file)
	if err != nil {
		b.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(content), key)
	value, err := strconv.ParseFloat(strings.Fields(rest)[0], 64)
	if err != nil {
		b.Fatal(err)
	}
	return value
}
