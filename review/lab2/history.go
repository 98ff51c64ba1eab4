package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["history"] = playHistory }

const (
	// historyPrograms is the number of programs whose first turn has an input of
	// historyBytes, a seventh of maxBodyBytes.
	historyPrograms = 25
	historyBytes    = 600_000
	// continuations is the number of turns that continue each of them at once, and
	// historyRounds how often.
	continuations = 8
	historyRounds = 4
	historyTime   = 20 * time.Second
)

// playHistory lets clients continue remembered turns with large inputs, all at once.
func playHistory(l *lab) verdict {
	engine := &replica{id: "i-02d9e6b4", run: func(w http.ResponseWriter, r *http.Request, _ execution) { streamOn(w, r, false) }}
	counter := newCounter()
	l.startPermitDesk(engine, counter)
	v := l.startVM(1)
	input := []byte(strings.Repeat("q", historyBytes))
	var first []string
	for n := range historyPrograms {
		m := planMessage(fmt.Sprintf("3fa8%02x", n), "")
		m.body = input
		if r := sendOnce(v.requests, m); r.err == nil && r.status == http.StatusOK {
			first = append(first, m.id)
		} else {
			l.note("first turn of program %d: %v", n, r)
		}
	}
	l.note("%d first turns with an input of %d bytes are stored; memory of the VM %d MB", len(first), historyBytes, v.residentMB())
	if len(first) < historyPrograms {
		fail("not all first turns were answered")
	}
	var most atomic.Int64
	go func() {
		for {
			select {
			case <-l.done:
				return
			case <-time.After(5 * time.Millisecond):
				most.Store(max(most.Load(), int64(v.residentMB())))
			}
		}
	}()
	ends := l.enforceMemory(v)
	results := make(chan string, 10000)
	until := time.Now().Add(historyTime)
	var clients sync.WaitGroup
	for range ordinaryClients {
		clients.Go(func() { ordinaryClient(v.requests, counter, until, results) })
	}
	var outcomes sync.Map
	for round := range historyRounds {
		time.Sleep(3 * time.Second)
		var turns sync.WaitGroup
		for n, previous := range first {
			for range continuations {
				if l.trouble || n == round {
					turns.Go(func() {
						m := planMessage(fmt.Sprintf("3fa8%02x", n), previous)
						m.body = []byte("and then?")
						r := sendOnce(v.requests, m)
						count, _ := outcomes.LoadOrStore(fmt.Sprintf("status %d, complete %v", r.status, r.err == nil), &atomic.Int64{})
						count.(*atomic.Int64).Add(1)
					})
				}
			}
		}
		turns.Wait()
	}
	clients.Wait()
	close(results)
	lost := l.tally(results)
	outcomes.Range(func(outcome, count any) bool {
		l.note("continuing turns: %v: %d", outcome, count.(*atomic.Int64).Load())
		return true
	})
	l.note("most memory seen %d MB; the platform ended the process %d times for its memory", most.Load(), ends.Load())
	return verdict{
		broken: lost > maxLost,
		reason: fmt.Sprintf("%d requests from kept channels ran at a sound replica and their channel ended without an answer; %d may", lost, maxLost),
	}
}
