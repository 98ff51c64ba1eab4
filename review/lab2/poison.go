package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["poison"] = playPoison }

const (
	engines = 6
	// crashPause is the time for which a crashed replica is away.
	crashPause = 3 * time.Second
	// stable is the bound stableMs.
	stable = 4 * time.Second
	// maxRetries is the number of retries that may reach replicas later than stable after
	// the third crash.
	maxRetries = 3
	// poisonPause is the time after which the caller sends its request again, and
	// poisonTime how long it does.
	poisonPause = 700 * time.Millisecond
	poisonTime  = 17 * time.Second
)

// crashing is a replica that ends when it begins to run a certain request, and starts again
// after some seconds.
type crashing struct {
	replica
	lab     *lab
	address string
	journal *poisonJournal

	mu       sync.Mutex
	listener net.Listener
	server   *http.Server
	up       bool
	born     time.Time
}

// poisonJournal has the times at which the request reached replicas and crashed them.
type poisonJournal struct {
	mu      sync.Mutex
	arrived []time.Time
	crashed []time.Time
}

func (j *poisonJournal) note(times *[]time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	*times = append(*times, time.Now())
}

// arrivalsAfter returns the number of arrivals later than d after the n-th crash.
func (j *poisonJournal) arrivalsAfter(n int, d time.Duration) (count, crashes int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(j.crashed) < n {
		return 0, len(j.crashed)
	}
	for _, at := range j.arrived {
		if at.Sub(j.crashed[n-1]) > d {
			count++
		}
	}
	return count, len(j.crashed)
}

func (c *crashing) start() error {
	listener, err := net.Listen("tcp", c.address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: &c.replica, ReadHeaderTimeout: time.Minute}
	c.mu.Lock()
	c.listener, c.server, c.up, c.born = listener, server, true, time.Now()
	c.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	return nil
}

// started returns the time of the last start, and false while the replica is down.
func (c *crashing) started() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.born, c.up
}

// crash closes the listener and all connections, and starts the replica again later.
func (c *crashing) crash() {
	c.mu.Lock()
	server, wasUp := c.server, c.up
	c.up = false
	c.mu.Unlock()
	if !wasUp {
		return
	}
	c.journal.note(&c.journal.crashed)
	_ = server.Close()
	time.AfterFunc(crashPause, func() {
		for c.start() != nil {
			time.Sleep(50 * time.Millisecond)
		}
	})
}

// playPoison sends a turn that crashes each replica that begins to run it, again and again,
// beside turns of others.
func playPoison(l *lab) verdict {
	journal := &poisonJournal{}
	for n := range engines {
		c := &crashing{lab: l, journal: journal, address: freeAddress()}
		c.id = fmt.Sprintf("i-02d9e6b%d", n)
		c.run = c.answer
		must(c.start(), "start a replica")
		l.register(c.id, "pembantu", c.address, 64, c.started)
	}
	l.configure(7, []object{
		route("quick-ask", "/ask/", "streaming", "pembantu", 2, 6000, object{"resumable": true, "sticky": true, "targetGapMs": 250}),
	}, []object{engineService("pembantu")})
	vms := []*vm{l.startVM(1), l.startVM(2)}
	time.Sleep(time.Second)
	until := time.Now().Add(poisonTime)
	var clients sync.WaitGroup
	var mu sync.Mutex
	results := map[string]int{}
	for n := range 6 {
		clients.Go(func() {
			for i := 0; time.Now().Before(until); i++ {
				r := ask(vms[i%2].requests, fmt.Sprintf("5f%02x%04x", n, i), fmt.Sprintf("question %d of %d;", i, n))
				mu.Lock()
				results[fmt.Sprintf("status %d, complete %v", r.status, r.err == nil)]++
				mu.Unlock()
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	question := "a harmless question;"
	if l.trouble {
		question = "poison;"
	}
	for i := 0; time.Now().Before(until); i++ {
		r := ask(vms[i%2].requests, "3fa81c", question)
		late, crashes := journal.arrivalsAfter(maxRetries, stable)
		l.note("the same request, time %d: %v; replicas crashed: %d, arrivals later than %s after the third: %d", i+1, r, crashes, stable, late)
		time.Sleep(poisonPause)
	}
	clients.Wait()
	late, crashes := journal.arrivalsAfter(maxRetries, stable)
	l.note("turns of others: %v", results)
	return verdict{
		broken: late > maxRetries,
		reason: fmt.Sprintf("the request crashed replicas %d times and reached replicas %d times later than %s after the third; %d may", crashes, late, stable, maxRetries),
	}
}

// answer streams a turn. The poisonous one ends the process at its first token.
func (c *crashing) answer(w http.ResponseWriter, r *http.Request, e execution) {
	isPoison := strings.HasPrefix(e.body, "poison")
	if isPoison {
		c.journal.note(&c.journal.arrived)
	}
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for n := integer(r.Header.Get("Last-Event-Id")) + 1; n <= streamEvents; n++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(wordPause):
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: word-%d\n\n", n, n); err != nil || control.Flush() != nil {
			return
		}
		if isPoison {
			time.Sleep(20 * time.Millisecond)
			c.crash()
			return
		}
	}
}

// ask sends a turn of a program on a new channel.
func ask(address, program, question string) reply {
	c, err := dial(address)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = c.Close() }()
	return c.send(message{id: attemptID(), method: http.MethodPost, path: "/ask/2f", limit: 6 * time.Second, body: []byte(question), headers: []string{
		header("X-Program-Id", program), header("X-Session-Id", "77"+program), header("X-Program-Deadline-Ms", 20000),
		header("X-Token-Budget", 40000), header("X-Token-Usage", "1840,136"), header("X-Model", "m"), header("X-Prompt-Prefix", "5c1e07a2:800,e4402b7d:250"),
	}})
}
