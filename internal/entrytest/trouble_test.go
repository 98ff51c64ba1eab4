package entrytest

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/goldentest"
	"github.com/sassafrasspur/sassafrasspur/internal/rows"
	"github.com/sassafrasspur/sassafrasspur/internal/standin/replica"
)

const (
	// namedLimit is the request limit that each service names, in requests a second.
	namedLimit = 1
	// limitSettle is the time from which a limit is kept, and limitWindow the time in
	// which an upstream gets at most one and a half times its limit and five requests.
	limitSettle = 4 * time.Second
	limitWindow = 4 * time.Second
)

// look sends a look-up to an entry VM and returns the status.
func (d *deployment) look(v *vm, id string) string {
	return d.send(v, http.MethodGet, "/look/"+id, map[string]string{"X-Attempt-Id": id, "X-Deadline-Ms": "1000"}, "")[:3]
}

// sendLooks sends look-ups to the entry VMs in turn, each 50 ms, and counts their
// statuses.
func (d *deployment) sendLooks(name string, duration time.Duration) map[string]int {
	statuses := map[string]int{}
	started := time.Now()
	for n := 0; time.Since(started) < duration; n++ {
		statuses[d.look(d.vms[n%len(d.vms)], fmt.Sprint(name, "-", n))]++
		time.Sleep(50 * time.Millisecond)
	}
	return statuses
}

// countLookRuns returns the largest number of look-ups that one replica has run.
func (d *deployment) countLookRuns(name string) int {
	most := 0
	for _, r := range d.replicas {
		n := 0
		for _, run := range r.Runs() {
			if strings.HasPrefix(string(run.Request), name) {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// playLimit lets all services name a limit and end it again.
func (d *deployment) playLimit() string {
	setLimits := func(limit string) {
		for _, r := range d.replicas {
			r.SetLimit(limit)
		}
	}
	setLimits(fmt.Sprint(namedLimit))
	d.sendLooks("settle", limitSettle)
	limited := d.sendLooks("limited", limitWindow)
	setLimits("")
	d.sendLooks("ended", limitSettle)
	after := d.sendLooks("after", time.Second)
	allowed := int(namedLimit*1.5*limitWindow.Seconds()) + 5
	return fmt.Sprintf("over the limit: %t, refused: %t, served: %t, other answers: %t, refused after the limit: %t",
		d.countLookRuns("limited") > allowed, limited["503"] > 0, limited["200"] > 0, limited["200"]+limited["503"] < sum(limited), after["503"] > 0)
}

func sum(counts map[string]int) int {
	n := 0
	for _, count := range counts {
		n += count
	}
	return n
}

// playPoison sends a request that ends each service that runs it, with another body
// each time, to the entry VMs in turn.
func (d *deployment) playPoison(g *WithT) string {
	var ended sync.WaitGroup
	defer ended.Wait()
	for i := range 4 {
		id := ident.UpstreamID(fmt.Sprint("mortal-", i))
		r := replica.New(id)
		d.addReplica(g, id, "services", r)
		server := d.servers[len(d.servers)-1]
		r.Decide(func(run replica.Run) replica.Behaviour {
			if !strings.HasPrefix(run.Body, "poison") {
				return replica.Serve{}
			}
			ended.Go(func() {
				g.Expect(server.Listener.Close()).To(Succeed())
				server.CloseClientConnections()
			})
			return replica.Hang{}
		})
	}
	// The other services must not answer the request.
	for i := range 2 {
		d.putRow(g, "servers", rows.Key(fmt.Sprint("service-", i)), map[string]any{"state": "gone"})
	}
	time.Sleep(2 * time.Second)
	d.sendLooks("sound", 3*time.Second)
	var statuses []string
	for n := range 5 {
		id := fmt.Sprint("poison-", n)
		header := map[string]string{"X-Attempt-Id": id, "X-Deadline-Ms": "2000"}
		statuses = append(statuses, d.send(d.vms[n%2], http.MethodPost, "/file/x", header, "poison"+strings.Repeat(" history", n))[:3])
		time.Sleep(300 * time.Millisecond)
	}
	return fmt.Sprintf("poison %s, sound %s", strings.Join(statuses, " "), d.look(d.vms[0], "sound-last"))
}

// Guards, on the complete path with two entry VMs, against an upstream that gets more
// requests than the limit that it names, and against a request that ends one upstream
// after the other at different VMs.
func TestEntryTrouble(t *testing.T) {
	g := NewWithT(t)
	g.Expect(goldentest.Check("testdata/trouble/*.txtar", func(line string) string {
		d := newDeployment(t, g, 2)
		defer d.close(g)
		if line == "limit" {
			return d.playLimit()
		}
		return d.playPoison(g)
	})).To(Succeed())
}
