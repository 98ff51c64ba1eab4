package main

import (
	"bufio"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

func init() { cases["resume"] = playResume }

const (
	streamEvents = 12
	// entryVMs is the number of machines of the site, of which one is killed.
	entryVMs  = 12
	wordPause = 40 * time.Millisecond
	// breakAfter is the number of events after which the channel of the first attempt breaks.
	breakAfter = 5
	// maxRestarts is how often a turn that has failed is sent again from its start, and
	// restartPause the time before that.
	maxRestarts  = 2
	restartPause = 300 * time.Millisecond
)

// playResume lets a turn of a remembered conversation lose its channel in the middle. The
// client resumes the stream and then sends the next turn.
func playResume(l *lab) verdict {
	engine := &replica{id: "i-02d9e6b4"}
	engine.run = func(w http.ResponseWriter, r *http.Request, _ execution) {
		w.Header().Set("Content-Type", "text/event-stream")
		control := http.NewResponseController(w)
		// The words of a turn follow from its session, so that a run that goes on at
		// Last-Event-Id continues the same answer.
		for n := integer(r.Header.Get("Last-Event-Id")) + 1; n <= streamEvents; n++ {
			select {
			case <-r.Context().Done():
				return
			case <-time.After(wordPause):
			}
			if _, err := fmt.Fprintf(w, "id: %d\ndata: word-%d\n\n", n, n); err != nil || control.Flush() != nil {
				return
			}
		}
	}
	address, err := serve(engine)
	must(err, "start a replica")
	l.register(engine.id, "pembantu", address, 64, startedNow())
	l.configure(7, []object{
		route("plan-chat", "/plan/", "streaming", "pembantu", 2, 6000, object{"retained": true, "resumable": true, "sticky": true, "targetGapMs": 250}),
	}, []object{engineService("pembantu")})
	var vms []*vm
	for n := range entryVMs {
		vms = append(vms, l.startVM(n+1))
	}
	first, second := vms[0], vms[1]

	const inputs = "first question;"
	turn := func(previous string, extra ...string) message {
		m := message{id: attemptID(), method: http.MethodPost, path: "/plan/2f", limit: 6 * time.Second, headers: append([]string{
			header("X-Program-Id", "3fa81c"), header("X-Session-Id", "77d20b"), header("X-Program-Deadline-Ms", 20000),
			header("X-Token-Budget", 4000), header("X-Token-Usage", "1840,136"), header("X-Model", "m"), header("X-Prompt-Prefix", "5c1e07a2:800,e4402b7d:250"),
		}, extra...)}
		if previous != "" {
			m.headers = append(m.headers, header("X-Previous-Turn", previous))
		}
		return m
	}
	opening := turn("")
	opening.body = []byte(inputs)
	events, answered := l.openTurn(first, second, opening, turn)
	if answered == "" {
		fail("the first turn was not answered")
	}
	next := turn(answered)
	next.body = []byte("second question;")
	c, err := dial(second.requests)
	must(err, "connect")
	r := c.send(next)
	l.note("next turn %s continues %s: %v", next.id, answered, r)
	want := inputs + strings.Join(events, "\n") + "\n" + "second question;"
	for _, e := range engine.executions() {
		if e.id != next.id {
			continue
		}
		l.note("the client received the events %q", events)
		l.note("the replica was to get %q", want)
		l.note("the replica got        %q", e.body)
		return verdict{broken: e.body != want, reason: "the body of a turn at the replica against the inputs and outputs of its chain"}
	}
	return verdict{reason: fmt.Sprintf("the next turn was not run: %v", r)}
}

// openTurn sends the first turn. With the disruption, the process of its entry VM is killed
// in the middle of the answer, and the client resumes the stream at another one, or sends the
// turn again from its start if that is refused. It returns the events that the client
// received and the id of the attempt that was answered whole.
func (l *lab) openTurn(first, second *vm, opening message, turn func(previous string, extra ...string) message) ([]string, string) {
	c, err := dial(first.requests)
	must(err, "connect")
	if !l.trouble {
		r := c.send(opening)
		l.note("turn %s: %v", opening.id, r)
		if r.err != nil || r.status != http.StatusOK {
			return nil, ""
		}
		return eventData(r.body), opening.id
	}
	must(c.SetDeadline(time.Now().Add(opening.limit)), "set a deadline")
	_, err = c.Write(append(opening.head(len(opening.body)), opening.body...))
	must(err, "send a turn")
	response, err := http.ReadResponse(c.reader, &http.Request{Method: opening.method})
	must(err, "read the answer of a turn")
	defer func() { _ = response.Body.Close() }()
	events, err := c.readEvents(response, breakAfter)
	must(err, "read the events of a turn")
	l.note("turn %s: status %d, %d events; %s is killed", opening.id, response.StatusCode, len(events), first.name)
	first.kill()
	_ = c.Close()

	resumed := turn("", header("Last-Event-Id", len(events)))
	resumed.body = opening.body
	r := sendOnce(second.requests, resumed)
	l.note("turn %s resumes after event %d: %v", resumed.id, len(events), r)
	if r.err == nil && r.status == http.StatusOK {
		return append(events, eventData(r.body)...), resumed.id
	}
	for range maxRestarts {
		time.Sleep(restartPause)
		restarted := turn("")
		restarted.body = opening.body
		r := sendOnce(second.requests, restarted)
		l.note("turn %s begins again: %v", restarted.id, r)
		if r.err == nil && r.status == http.StatusOK {
			return eventData(r.body), restarted.id
		}
	}
	return nil, ""
}

// readEvents reads n events of a stream after its request was sent. It returns the data of
// each event.
func (c *channel) readEvents(response *http.Response, n int) ([]string, error) {
	lines := bufio.NewScanner(response.Body)
	var events []string
	for len(events) < n && lines.Scan() {
		if data, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
			events = append(events, data)
		}
	}
	if err := lines.Err(); err != nil {
		return events, err
	}
	if len(events) < n {
		return events, errors.New("the stream ended early")
	}
	return events, nil
}

// eventData returns the data of each event of a stream.
func eventData(stream []byte) []string {
	var data []string
	for line := range strings.Lines(string(stream)) {
		if value, ok := strings.CutPrefix(strings.TrimRight(line, "\n"), "data: "); ok {
			data = append(data, value)
		}
	}
	return data
}

func integer(text string) int {
	n, err := strconv.Atoi(text)
	if err != nil {
		return 0
	}
	return n
}
