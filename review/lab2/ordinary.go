package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	// ordinaryClients is the number of ordinary clients, each with one kept channel.
	ordinaryClients = 8
	// ordinaryWork is the time that a replica works on one of their requests.
	ordinaryWork = 500 * time.Millisecond
	// maxLost is the number of answers that may be lost.
	maxLost = 3
)

// tally records the results of ordinary clients and returns how many requests were lost.
func (l *lab) tally(results <-chan string) int {
	counts := map[string]int{}
	for r := range results {
		kind, line, _ := strings.Cut(r, "|")
		counts[kind]++
		if line != "" {
			l.note("%s", line)
		}
	}
	l.note("requests on kept channels: %v", counts)
	if counts["answered"]+counts["lost"] == 0 {
		fail("no ordinary request ran")
	}
	return counts["lost"]
}

// ordinaryClient sends one request after the other on a kept channel. It opens a new one if
// the VM closes it.
func ordinaryClient(address string, counter *replica, until time.Time, results chan<- string) {
	var c *channel
	for time.Now().Before(until) {
		if c == nil {
			var err error
			if c, err = dial(address); err != nil {
				time.Sleep(50 * time.Millisecond)
				continue
			}
		}
		if c.answered == 0 {
			r := c.send(message{id: attemptID(), method: http.MethodGet, path: "/look/2f", limit: 1500 * time.Millisecond})
			if r.err != nil || r.status != http.StatusOK || r.closes {
				_ = c.Close()
				c = nil
				time.Sleep(50 * time.Millisecond)
				continue
			}
		}
		m := message{id: attemptID(), method: http.MethodPost, path: "/permit/2f", limit: 6 * time.Second, body: []byte(strings.Repeat("p", 600))}
		r := c.send(m)
		ran := counter.count(m.id)
		switch {
		case r.err != nil && ran > 0:
			results <- fmt.Sprintf("lost|request %s: ran %d times; the client got %v", m.id, ran, r)
		case r.err != nil:
			results <- "closed, not run|"
		case r.status == http.StatusOK:
			results <- "answered|"
		default:
			results <- fmt.Sprintf("status %d, ran %d times|", r.status, ran)
		}
		if r.err != nil || r.status != http.StatusOK || r.closes {
			_ = c.Close()
			c = nil
			time.Sleep(50 * time.Millisecond)
		}
	}
	if c != nil {
		_ = c.Close()
	}
}
