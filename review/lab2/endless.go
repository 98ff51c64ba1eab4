package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["endless"] = playEndless }

const (
	// troubledTurns is the number of turns that the troubled replica has at once.
	troubledTurns = 2
	// endlessTime is how long ordinary clients send requests.
	endlessTime = 16 * time.Second
)

// playEndless lets a replica go on without end after its answer to a turn. The platform ends
// a process that exceeds the memory of its machine, as it does with all.
func playEndless(l *lab) verdict {
	engine := &replica{id: "i-02d9e6b4", run: func(w http.ResponseWriter, r *http.Request, _ execution) { streamOn(w, r, l.trouble) }}
	counter := newCounter()
	l.startPermitDesk(engine, counter)
	v := l.startVM(1)
	ends := l.enforceMemory(v)

	results := make(chan string, 10000)
	until := time.Now().Add(endlessTime)
	var clients sync.WaitGroup
	for range ordinaryClients {
		clients.Go(func() { ordinaryClient(v.requests, counter, until, results) })
	}
	for n := range troubledTurns {
		clients.Go(func() {
			time.Sleep(2 * time.Second)
			for i := 0; time.Now().Before(until); i++ {
				r := sendOnce(v.requests, planMessage(fmt.Sprintf("3fa8%02x%02x", n, i)))
				l.note("turn of program %d: %v", n, r)
				time.Sleep(time.Second)
			}
		})
	}
	clients.Wait()
	close(results)
	lost := l.tally(results)
	l.noteLink()
	l.note("the platform ended the process %d times for its memory", ends.Load())
	return verdict{
		broken: lost > maxLost,
		reason: fmt.Sprintf("%d requests from kept channels ran at a sound replica and their channel ended without an answer; %d may", lost, maxLost),
	}
}
