package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// playExtraRefusal charges fees while three of five replicas send extra bytes after one
// answer in forty, at the point where the next answer is expected.
func playExtraRefusal(l *lab) (bool, error) {
	const fees, clients, everyNth = 600, 6, 40
	l.deploy(nil)
	acts := func(i int) behaviour {
		b := behaviour{work: 40 * time.Millisecond}
		if !l.trouble || i >= 3 {
			return b
		}
		var requests atomic.Int64
		b.before = func(c call) string {
			// The first answer on a channel has no answer before it.
			if n := requests.Add(1); n%everyNth != 0 || c.number == 1 {
				return ""
			}
			// The bytes are those of a refusal.
			return shed
		}
		return b
	}
	if err := l.startReplicas(5, counter, 6, acts); err != nil {
		return false, err
	}
	if err := l.startVMs(3, 144, inTurn); err != nil {
		return false, err
	}
	var wait sync.WaitGroup
	var mu sync.Mutex
	var ids []string
	replies := map[string]reply{}
	for n := range clients {
		wait.Go(func() {
			for i := range fees / clients {
				a := attempt{id: fmt.Sprintf("%08x%08x", n+1, i+1), method: http.MethodPost, path: feePath + "2f", body: fmt.Sprintf("fee %d of client %d", i, n), limit: 3 * time.Second}
				r := l.once(l.vms[(n+i)%len(l.vms)], a)
				mu.Lock()
				ids, replies[a.id] = append(ids, a.id), r
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	time.Sleep(time.Second)
	twice, refused := 0, 0
	for _, id := range ids {
		runs, r := l.runsOf(id), replies[id]
		if len(runs) > 1 {
			twice++
			l.record("twice", "id=%s ran at %v and was answered %s", id, runs, r)
		}
		if len(runs) > 0 && r.err == nil && (r.status == http.StatusServiceUnavailable || r.status == http.StatusTooManyRequests) {
			refused++
			l.record("refused", "id=%s ran at %v and was answered %s", id, runs, r)
		}
	}
	l.say("%d fees (%s): %d ran twice, %d were refused as not run although they ran", len(ids), l.outcomes(), twice, refused)
	if l.sent["200"] < len(ids)/2 {
		return false, errCannotRun
	}
	return twice > 0, nil
}
