package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// restartDelay is the time after which the platform starts a process again.
	restartDelay = 500 * time.Millisecond
	// eventPause is the time between two events of a stream.
	eventPause = 10 * time.Millisecond
	// maxEvents is the number of events of the largest answer to a turn: 136 tokens, two in
	// each event.
	maxEvents = 68
	// fillerBytes is the size of what the troubled replica sends each fillerPause after the
	// answer: 16 MB a second on each channel, a seventh of a machine's link.
	fillerBytes = 32 << 10
	fillerPause = 2 * time.Millisecond
)

// newCounter returns a sound replica of the permit counter.
func newCounter() *replica {
	return &replica{id: "i-7f3a91c2", run: func(w http.ResponseWriter, r *http.Request, _ execution) {
		if strings.HasPrefix(r.URL.Path, "/permit/") {
			time.Sleep(ordinaryWork)
		}
		w.Header().Set("Content-Length", "800")
		_, _ = fmt.Fprint(w, strings.Repeat("x", 800))
	}}
}

// streamOn sends the largest answer to a turn, and after it bytes without end if the replica
// is in trouble.
func streamOn(w http.ResponseWriter, r *http.Request, isTroubled bool) {
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	filler := strings.Repeat("x", fillerBytes)
	for n := 1; n <= maxEvents || isTroubled; n++ {
		text, pause := fmt.Sprintf("word-%d", n), eventPause
		if n > maxEvents {
			text, pause = filler, fillerPause
		}
		select {
		case <-r.Context().Done():
			return
		case <-time.After(pause):
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, text); err != nil || control.Flush() != nil {
			return
		}
	}
}

// startPermitDesk starts the replicas of an engine and of a plain service, and writes the
// configuration of both.
func (l *lab) startPermitDesk(engine, counter *replica) {
	for r, service := range map[*replica]string{engine: "pembantu", counter: "kaunter"} {
		address, err := serve(r)
		must(err, "start a replica")
		l.register(r.id, service, address, 64, startedNow())
	}
	l.configure(7, []object{
		route("plan-chat", "/plan/", "streaming", "pembantu", 2, 6000, object{"retained": true, "sticky": true, "targetGapMs": 250}),
		route("permit-file", "/permit/", "non_idempotent", "kaunter", 1, 6000, nil),
		route("slot-lookup", "/look/", "idempotent", "kaunter", 2, 1500, nil),
	}, []object{engineService("pembantu"), service("kaunter")})
}

// planMessage returns the first turn of a remembered conversation.
func planMessage(program string) message {
	return message{id: attemptID(), method: http.MethodPost, path: "/plan/2f", limit: 6 * time.Second, body: []byte("question;"), headers: []string{
		header("X-Program-Id", program), header("X-Session-Id", "77"+program), header("X-Program-Deadline-Ms", 20000),
		header("X-Token-Budget", 4000), header("X-Token-Usage", "1840,136"), header("X-Model", "m"), header("X-Prompt-Prefix", "5c1e07a2:800,e4402b7d:250"),
	}}
}

// sendOnce sends a request on a channel of its own.
func sendOnce(address string, m message) reply {
	c, err := dial(address)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = c.Close() }()
	return c.send(m)
}

// enforceMemory ends the process of an entry VM when it exceeds the memory of its machine,
// and starts it again. It counts the ends.
func (l *lab) enforceMemory(v *vm) *atomic.Int64 {
	var ends atomic.Int64
	go func() {
		for {
			select {
			case <-l.done:
				return
			case <-time.After(10 * time.Millisecond):
			}
			if size := v.residentMB(); size > memoryMB {
				l.note("%s has %d MB, the machine %d: the platform ends the process", v.name, size, memoryMB)
				ends.Add(1)
				v.kill()
				time.Sleep(restartDelay)
				v.start()
			}
		}
	}()
	return &ends
}
