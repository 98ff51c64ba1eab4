package processtest

import (
	"bytes"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// leavingLimit is the design's bound on new work for an upstream that leaves.
const leavingLimit = 5 * time.Second

// leaseOfCut is longer than the limit and the case's sends after it.
const leaseOfCut = 30 * time.Second

// listLeaving marks an upstream as leaving in the platform's list only.
func (d *deployment) listLeaving(address string) {
	GinkgoHelper()
	body := fmt.Sprintf(`{"address":%q,"state":"leaving"}`, address)
	response, err := http.Post("http://"+d.platform.addresses("objects")[0]+"/standin/vms", "application/json", bytes.NewReader([]byte(body)))
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	Expect(response.StatusCode).To(Equal(http.StatusOK))
}

// arrivals returns how often each call arrived at one upstream.
func arrivals(address string) map[string]int {
	GinkgoHelper()
	var c struct{ Arrivals map[string]int }
	Expect(fetch(address, "/standin/arrivals", &c)).To(Succeed())
	return c.Arrivals
}

func sum(counts map[string]int, prefix string) int {
	n := 0
	for key, count := range counts {
		if strings.HasPrefix(key, prefix) {
			n += count
		}
	}
	return n
}

var _ = Describe("an upstream that leaves", func() {
	// Guards against new work for an upstream that is known to be leaving, also
	// from a VM that can't read the platform's list any more. The VM that is cut
	// off has a long lease, so that only the age of its view stops it.
	It("gets no new work after 5 s", func(ctx SpecContext) {
		var tables, objects *link
		d := deploy(ctx, shape{vms: 3, lease: leaseOfCut, platformOf: func(i int, t, o string) (string, string) {
			if i == 2 {
				tables, objects = newLink(t), newLink(o)
				return tables.address, objects.address
			}
			return t, o
		}})
		o := newOracle(d)
		l, chats := newLoad(o, lookUp), newLoad(o, completionOperation)
		l.via = func(caller, try int) *vm { return d.vms[(caller+try)%2] }
		chats.via = l.via
		l.start(ctx, d.ownedBy(ctx, "asks", 6, d.vms[:2]...))
		chats.start(ctx, d.ownedBy(ctx, "chats", 4, d.vms[:2]...))
		// Each program of the VM that is cut off makes one call, since no answer
		// can become durable there.
		single := newLoad(o, lookUp)
		single.via = func(int, int) *vm { return d.vms[2] }
		waiting := d.ownedBy(ctx, "single", 80, d.vms[2])
		for i, name := range waiting {
			single.caller(i, name).open(ctx)
		}
		Eventually(ctx, o.count).Should(BeNumerically(">", 50))

		listed, refusing := d.serviceAddresses[0], d.engineAddresses[0]
		d.listLeaving(listed)
		faults(refusing, map[string]any{"leaving": true})
		tables.silent.Store(true)
		objects.silent.Store(true)
		left := time.Now()
		limit := timers.After(leavingLimit)
		var senders sync.WaitGroup
		var atLimit map[string]int
		var enginesAtLimit int
		over := false
		for i, name := range waiting {
			senders.Go(func() {
				defer GinkgoRecover()
				// An error is expected: the answer is not durable in time.
				c := single.caller(i, name)
				c.oracle.mark(c.oracle.repeatable, name+"/"+name+"-1.0")
				_ = c.sendAt(ctx, d.vms[2], 1, name+"-1.0", true)
			})
			pause := timers.After(100 * time.Millisecond)
			<-pause.C
			if over {
				continue
			}
			select {
			case <-limit.C:
				over = true
				atLimit, enginesAtLimit = arrivals(listed), sum(arrivals(refusing), "")
			default:
			}
		}
		Expect(over).To(BeTrue())
		marked := time.Now()
		Eventually(ctx, func() int { return o.since(marked) }).Should(BeNumerically(">", 100))
		after := arrivals(listed)
		sent := sum(after, "single") + sum(arrivals(d.serviceAddresses[1]), "single")
		AddReportEntry("dispatches of the VM that was cut off", fmt.Sprintf("%d of %d after %s", sent, len(waiting), time.Since(left)))
		Expect(sent).To(BeNumerically(">", 0), "the VM that was cut off sent nothing")
		Expect(slices.Sorted(maps.Keys(after))).To(Equal(slices.Sorted(maps.Keys(atLimit))), "new work after 5 s")
		Expect(sum(arrivals(refusing), "")).To(Equal(enginesAtLimit), "new work for an engine that refuses")
		tables.silent.Store(false)
		objects.silent.Store(false)
		senders.Wait()
		l.stop()
		chats.stop()
		o.check(ctx)
	}, SpecTimeout(caseLimit))
})
