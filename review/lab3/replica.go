package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// heartbeat is the interval at which a replica writes its entry, and entryLifetime how
	// long an entry stays without a write: three intervals.
	heartbeat     = 1200 * time.Millisecond
	entryLifetime = 3 * heartbeat
	// chunkTokens is the number of tokens of an event.
	chunkTokens = 2
	// queueFactor is the number of requests that wait at a replica, for each slot.
	queueFactor = 3
)

// call is a request that a replica has received.
type call struct {
	id, program, tenant, key string
	method, target           string
	body                     []byte
	maxEvents                int
	timeLeft                 time.Duration
	// number counts the requests on the connection, from 1.
	number int
}

// behaviour is how a replica handles requests. The zero value is that of a sound one.
type behaviour struct {
	work time.Duration
	// eventText is the data of each event of an engine.
	eventText string
	// before returns bytes that are sent before the answer to a request, none for a sound
	// replica.
	before func(call) string
	// crashes reports whether the replica crashes when it begins to run the request.
	crashes func(call) bool
	// restart is the time after which a crashed replica is back.
	restart time.Duration
}

// replica is a stand-in for a replica of a service, or of an engine.
type replica struct {
	lab     *lab
	service string
	zone    string
	engine  bool
	slots   int
	acts    behaviour

	mu       sync.Mutex
	id       string
	boot     int
	address  string
	listener net.Listener
	conns    map[net.Conn]bool
	down     bool
	// taken has an entry for each request that runs, and waiting counts those that wait.
	taken   chan struct{}
	waiting int
}

func (l *lab) newReplica(service, zone string, engine bool, slots int, acts behaviour) (*replica, error) {
	r := &replica{lab: l, service: service, zone: zone, engine: engine, slots: slots, acts: acts, taken: make(chan struct{}, slots)}
	return r, r.start("127.0.0.1:0")
}

// start starts a boot of the replica, with a new id.
func (r *replica) start(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.boot++
	r.id = fmt.Sprintf("i-%s-%s-%d", strings.ReplaceAll(listener.Addr().String(), "127.0.0.1:", ""), r.zone, r.boot)
	r.address, r.listener, r.conns, r.down = listener.Addr().String(), listener, map[net.Conn]bool{}, false
	id := r.id
	r.mu.Unlock()
	go r.register(id)
	go r.accept(listener, id)
	return nil
}

// register writes the entry of a boot until it ends. The entry lapses after that.
func (r *replica) register(id string) {
	born := time.Now().UnixMilli()
	for seq := 1; r.isCurrent(id); seq++ {
		r.lab.store.put("servers", id, map[string]any{
			"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": r.slots,
			"state": "ready", "coldRemainingMs": 0, "seq": seq, "born": born,
		})
		time.Sleep(heartbeat)
	}
	time.Sleep(entryLifetime - heartbeat)
	r.lab.store.remove("servers", id)
}

func (r *replica) isCurrent(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.id == id && !r.down
}

func (r *replica) accept(listener net.Listener, id string) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		if r.down || r.id != id {
			r.mu.Unlock()
			_ = conn.Close()
			return
		}
		r.conns[conn] = true
		r.mu.Unlock()
		go r.serve(conn, id)
	}
}

// crash ends the boot as the end of a process does: the port refuses connections, and all
// channels break. It reports whether this call ended it.
func (r *replica) crash(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down || r.id != id {
		return false
	}
	r.down = true
	_ = r.listener.Close()
	for conn := range r.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
	address := r.address
	time.AfterFunc(r.acts.restart, func() {
		for r.start(address) != nil {
			time.Sleep(100 * time.Millisecond)
		}
	})
	return true
}

func (r *replica) serve(conn net.Conn, id string) {
	defer func() {
		_ = conn.Close()
		r.mu.Lock()
		delete(r.conns, conn)
		r.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for number := 1; ; number++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if request.Header.Get("X-Expect-Instance") != id {
			if _, err := fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", id); err != nil {
				return
			}
			continue
		}
		if !r.handle(conn, id, decodeCall(request, body, number)) {
			return
		}
	}
}

func decodeCall(request *http.Request, body []byte, number int) call {
	h := request.Header
	c := call{
		id: h.Get("X-Attempt-Id"), program: h.Get("X-Program-Id"), tenant: h.Get("X-Tenant"), key: h.Get("X-Key"),
		method: request.Method, target: request.RequestURI, body: body, number: number,
	}
	if _, output, ok := strings.Cut(h.Get("X-Token-Usage"), ","); ok {
		tokens, _ := strconv.Atoi(output)
		c.maxEvents = tokens / chunkTokens
	}
	ms, _ := strconv.Atoi(h.Get("X-Deadline-Ms"))
	c.timeLeft = time.Duration(ms) * time.Millisecond
	return c
}

// handle runs a request and reports whether the channel stays open.
func (r *replica) handle(conn net.Conn, id string, c call) bool {
	if r.acts.before != nil {
		if extra := r.acts.before(c); extra != "" {
			r.lab.record("extra", "replica=%s before the answer to %s: %q", id, c.id, extra)
			if _, err := io.WriteString(conn, extra); err != nil {
				return false
			}
		}
	}
	if !r.takeSlot() {
		_, err := io.WriteString(conn, shed)
		return err == nil
	}
	defer func() { <-r.taken }()
	r.lab.ran(id, c)
	if r.acts.crashes != nil && r.acts.crashes(c) {
		if r.crash(id) {
			r.lab.crashed(id, c)
		}
		return false
	}
	if r.engine {
		return r.stream(conn, id, c)
	}
	time.Sleep(r.acts.work)
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Signature: s.%s.%s\r\nContent-Length: 2\r\n\r\nok", c.id, id, c.id)
	return err == nil
}

// shed is the answer of a replica that is full.
const shed = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"

// takeSlot waits for a slot. It reports false if too many requests wait.
func (r *replica) takeSlot() bool {
	r.mu.Lock()
	if r.waiting >= queueFactor*r.slots {
		r.mu.Unlock()
		return false
	}
	r.waiting++
	r.mu.Unlock()
	r.taken <- struct{}{}
	r.mu.Lock()
	r.waiting--
	r.mu.Unlock()
	return true
}

// stream answers with all events that the request allows.
func (r *replica) stream(conn net.Conn, id string, c call) bool {
	w := bufio.NewWriter(conn)
	_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Signature: s.%s.%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", c.id, id, c.id)
	for n := 1; n <= c.maxEvents; n++ {
		time.Sleep(r.acts.work)
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", n, r.acts.eventText)
		_, _ = fmt.Fprintf(w, "%x\r\n%s\r\n", len(event), event)
		if w.Flush() != nil {
			return false
		}
	}
	_, _ = w.WriteString("0\r\n\r\n")
	return w.Flush() == nil
}
