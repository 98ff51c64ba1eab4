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

// listLeaving marks an upstream as leaving in the platform's list only.
func (d *deployment) listLeaving(address string) {
	GinkgoHelper()
	body := fmt.Sprintf(`{"address":%q,"leaving":true}`, address)
	response, err := http.Post("http://"+d.storeAddress()+"/standin/servers", "application/json", bytes.NewReader([]byte(body)))
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
	// Guards against new work for an upstream that is known to be leaving, and
	// against work from a VM that can't read the platform's list any more.
	It("gets no new work after 5 s", func(ctx SpecContext) {
		var store *link
		d := deploy(ctx, shape{vms: 3, storeOf: func(i int, address string) string {
			if i == 2 {
				store = newLink(address)
				return store.address
			}
			return address
		}})
		o := newOracle(d)
		l, chats := newLoad(o, lookUp), newLoad(o, completionOperation)
		l.via = func(caller, try int) *vm { return d.vms[(caller+try)%2] }
		chats.via = l.via
		l.start(ctx, names("asks", 6))
		chats.start(ctx, names("chats", 4))
		// The VM that is cut off is sent new calls all the time.
		single := newLoad(o, lookUp)
		single.via = func(int, int) *vm { return d.vms[2] }
		waiting := names("single", 40)
		var opening sync.WaitGroup
		for i, name := range waiting {
			opening.Go(func() {
				defer GinkgoRecover()
				single.caller(i, name).open(ctx)
			})
		}
		opening.Wait()
		Eventually(ctx, o.count).Should(BeNumerically(">", 50))

		listed, refusing := d.serviceAddresses[0], d.engineAddresses[0]
		d.listLeaving(listed)
		faults(refusing, map[string]any{"leaving": true})
		store.silent.Store(true)
		limit := timers.After(leavingLimit)
		var senders sync.WaitGroup
		var atLimit map[string]int
		var enginesAtLimit int
		over := false
		for i, name := range waiting {
			senders.Go(func() {
				defer GinkgoRecover()
				// An error is expected: nothing can be recorded.
				c := single.caller(i, name)
				c.oracle.mark(c.oracle.repeatable, name+"/"+name+"-1.0")
				if err := c.sendAt(ctx, d.vms[2], 1, name+"-1.0", true); err != nil {
					o.refuse(name+"/"+name+"-1.0", err)
				}
			})
			pause := timers.After(200 * time.Millisecond)
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
		Expect(slices.Sorted(maps.Keys(after))).To(Equal(slices.Sorted(maps.Keys(atLimit))), "new work after 5 s")
		Expect(sum(arrivals(refusing), "")).To(Equal(enginesAtLimit), "new work for an engine that refuses")
		store.silent.Store(false)
		senders.Wait()
		l.stop()
		chats.stop()
		o.check(ctx)
	}, SpecTimeout(caseLimit))
})
