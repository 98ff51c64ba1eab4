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

// leavingLimit is the bound that the design sets on the time for which an upstream
// may still receive new work after it started to leave.
const leavingLimit = 5 * time.Second

// markLeaving marks an upstream as leaving in the platform's list. The upstream
// itself does not report it.
func (d *deployment) markLeaving(address string) {
	GinkgoHelper()
	body := fmt.Sprintf(`{"address":%q,"leaving":true}`, address)
	response, err := http.Post("http://"+d.storeAddress()+"/standin/servers", "application/json", bytes.NewReader([]byte(body)))
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	Expect(response.StatusCode).To(Equal(http.StatusOK))
}

// arrivalCounts returns the number of arrivals of each call at an upstream.
func arrivalCounts(address string) map[string]int {
	GinkgoHelper()
	var c struct{ Arrivals map[string]int }
	Expect(getJSON(address, "/standin/arrivals", &c)).To(Succeed())
	return c.Arrivals
}

func sumCounts(counts map[string]int, prefix string) int {
	n := 0
	for key, count := range counts {
		if strings.HasPrefix(key, prefix) {
			n += count
		}
	}
	return n
}

var _ = Describe("an upstream that leaves", func() {
	// Guards against new work for an upstream that is known to be leaving, also from
	// a VM that can no longer read the platform's list.
	It("receives no new work after 5 s", func(ctx SpecContext) {
		var store *tcpProxy
		d := deploy(ctx, topology{vms: 3, proxyStore: func(i int, address string) string {
			if i == 2 {
				store = newTCPProxy(address)
				return store.address
			}
			return address
		}})
		o := newOracle(d)
		lookUpCalls, chatCalls := newLoad(o, lookUpOperation), newLoad(o, completionOperation)
		lookUpCalls.selectVM = func(caller, try int) *vm { return d.vms[(caller+try)%2] }
		chatCalls.selectVM = lookUpCalls.selectVM
		lookUpCalls.start(ctx, programNames("asks", 6))
		chatCalls.start(ctx, programNames("chats", 4))
		// The VM without access to the store continuously receives new calls.
		disconnectedCalls := newLoad(o, lookUpOperation)
		disconnectedCalls.selectVM = func(int, int) *vm { return d.vms[2] }
		disconnectedPrograms := programNames("single", 40)
		var openers sync.WaitGroup
		for i, name := range disconnectedPrograms {
			openers.Go(func() {
				defer GinkgoRecover()
				disconnectedCalls.caller(i, name).open(ctx)
			})
		}
		openers.Wait()
		Eventually(ctx, o.completionCount).Should(BeNumerically(">", 50))

		markedAddress, refusingAddress := d.serviceAddresses[0], d.engineAddresses[0]
		d.markLeaving(markedAddress)
		setFaults(refusingAddress, map[string]any{"leaving": true})
		store.blackhole.Store(true)
		limit := timers.After(leavingLimit)
		var senders sync.WaitGroup
		var atLimit map[string]int
		var enginesAtLimit int
		limitReached := false
		for i, name := range disconnectedPrograms {
			senders.Go(func() {
				defer GinkgoRecover()
				// An error is expected, because the VM can't record the call.
				c := disconnectedCalls.caller(i, name)
				c.oracle.markCall(c.oracle.repeatable, name+"/"+name+"-1.0")
				if err := c.sendVia(ctx, d.vms[2], 1, name+"-1.0", true); err != nil {
					o.recordError(name+"/"+name+"-1.0", err)
				}
			})
			pause := timers.After(200 * time.Millisecond)
			<-pause.C
			if limitReached {
				continue
			}
			select {
			case <-limit.C:
				limitReached = true
				atLimit, enginesAtLimit = arrivalCounts(markedAddress), sumCounts(arrivalCounts(refusingAddress), "")
			default:
			}
		}
		Expect(limitReached).To(BeTrue())
		marked := time.Now()
		Eventually(ctx, func() int { return o.completionsSince(marked) }).Should(BeNumerically(">", 100))
		after := arrivalCounts(markedAddress)
		Expect(slices.Sorted(maps.Keys(after))).To(Equal(slices.Sorted(maps.Keys(atLimit))), "new work after 5 s")
		Expect(sumCounts(arrivalCounts(refusingAddress), "")).To(Equal(enginesAtLimit), "new work for an engine that refuses")
		store.blackhole.Store(false)
		senders.Wait()
		lookUpCalls.stop()
		chatCalls.stop()
		o.verifyAll(ctx)
	}, SpecTimeout(specTimeout))
})
