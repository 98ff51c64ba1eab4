package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["memory"] = playMemory }

const (
	// crowdSize is the number of connections whose bodies stop just short of their end,
	// each of unfinishedBytes, which is far below maxBodyBytes.
	crowdSize       = 900
	unfinishedBytes = 62000
	// crowdPace is the pause between two bodies of the whole crowd, which then sends 31 MB a
	// second, a quarter of a machine's link.
	crowdPace = 2 * time.Millisecond
	// answerBytes is the size of the answers to ordinary requests.
	answerBytes = 60000
	// memoryTime is how long ordinary clients send requests.
	memoryTime = 12 * time.Second
)

// playMemory lets ordinary clients send requests on kept channels while other clients
// leave bodies of legal size unfinished.
func playMemory(l *lab) verdict {
	counter := &replica{id: "i-7f3a91c2", run: func(w http.ResponseWriter, r *http.Request, _ execution) {
		size := 800
		if strings.HasPrefix(r.URL.Path, "/permit/") {
			time.Sleep(ordinaryWork)
			size = answerBytes
		}
		w.Header().Set("Content-Length", fmt.Sprint(size))
		_, _ = fmt.Fprint(w, strings.Repeat("x", size))
	}}
	address, err := serve(counter)
	must(err, "start a replica")
	l.register(counter.id, "kaunter", address, 64, startedNow())
	l.configure(7, []object{
		route("permit-file", "/permit/", "non_idempotent", "kaunter", 1, 6000, nil),
		route("slot-lookup", "/look/", "idempotent", "kaunter", 2, 1500, nil),
	}, []object{service("kaunter")})
	v := l.startVM(1)

	var crowd, clients sync.WaitGroup
	stop := make(chan struct{})
	if l.trouble {
		pace := time.NewTicker(crowdPace)
		defer pace.Stop()
		for range crowdSize {
			crowd.Go(func() { leaveUnfinished(v.requests, pace.C, stop) })
		}
		time.Sleep(4 * time.Second)
		l.note("%d clients leave bodies of %d bytes unfinished; memory of the VM %d MB", crowdSize, unfinishedBytes, v.residentMB())
	}
	results := make(chan string, 10000)
	until := time.Now().Add(memoryTime)
	for range ordinaryClients {
		clients.Go(func() { ordinaryClient(v.requests, counter, until, results) })
	}
	clients.Wait()
	close(stop)
	close(results)
	crowd.Wait()
	lost := l.tally(results)
	l.noteLink()
	l.note("process alive: %v, %d MB", !v.hasExited(), v.residentMB())
	return verdict{
		broken: lost > maxLost,
		reason: fmt.Sprintf("%d requests from kept channels ran and their channel ended without an answer; %d may", lost, maxLost),
	}
}

// leaveUnfinished sends bodies that stop one byte short of their end and keeps their
// connections open, one after the other.
func leaveUnfinished(address string, pace <-chan time.Time, stop <-chan struct{}) {
	body := []byte(strings.Repeat("b", unfinishedBytes-1))
	for {
		select {
		case <-stop:
			return
		case <-pace:
		}
		c, err := dial(address)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		m := message{id: attemptID(), method: http.MethodPost, path: "/permit/c", limit: 6 * time.Second}
		_, err = c.Write(m.head(unfinishedBytes))
		for sent := 0; sent < len(body) && err == nil; sent += linkPiece {
			piece := body[sent:min(len(body), sent+linkPiece)]
			link.pass(len(piece))
			_, err = c.Write(piece)
		}
		closed := make(chan struct{})
		if err == nil {
			go func() {
				// The VM may refuse the request and close the connection.
				_, _ = c.reader.ReadByte()
				close(closed)
			}()
			select {
			case <-closed:
			case <-stop:
			}
		}
		_ = c.Close()
		time.Sleep(50 * time.Millisecond)
	}
}
