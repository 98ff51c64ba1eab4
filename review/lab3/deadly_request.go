package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// stable is stableMs of the deployment.
	stable = 4 * time.Second
	// restartTime is the time after which a crashed replica is back.
	restartTime = 3 * time.Second
	// maxLate is the number of retries that RULES allows after the third crash.
	maxLate = 3
)

// playDeadlyRequest repeats one look-up that crashes each replica that begins to run it, in
// a quiet hour: a fee every two seconds is the only other traffic.
func playDeadlyRequest(l *lab) (bool, error) {
	const length, pause = 45 * time.Second, 700 * time.Millisecond
	deadly := lookupPath + "4b"
	l.deploy(nil)
	crashes := func(c call) bool { return l.trouble && c.target == deadly }
	if err := l.startReplicas(9, counter, 6, sound(behaviour{work: 50 * time.Millisecond, crashes: crashes, restart: restartTime})); err != nil {
		return false, err
	}
	if err := l.startVMs(3, 144, inTurn); err != nil {
		return false, err
	}
	end := time.Now().Add(length)
	var wait sync.WaitGroup
	fees, served := 0, 0
	wait.Go(func() {
		for ; time.Now().Before(end); fees++ {
			a := attempt{id: fmt.Sprintf("f%015x", fees), method: http.MethodPost, path: feePath + "2f", body: fmt.Sprint("fee ", fees), limit: 3 * time.Second}
			if r := l.once(l.vms[fees%len(l.vms)], a); r.err == nil && r.status == http.StatusOK {
				served++
			}
			time.Sleep(2 * time.Second)
		}
	})
	var sendings []sending
	for i := 0; time.Now().Before(end); i++ {
		s := sending{id: fmt.Sprintf("d%015x", i), at: time.Now()}
		sendings = append(sendings, s)
		l.once(l.vms[i%len(l.vms)], attempt{id: s.id, method: http.MethodGet, path: deadly, limit: 1500 * time.Millisecond})
		time.Sleep(pause)
	}
	wait.Wait()
	l.say("%d fees, %d served; the look-up was sent %d times (%s with the fees) and crashed %d replicas", fees, served, len(sendings), l.outcomes(), len(l.crashes[deadly+" "]))
	return l.isRepeatedTooOften(deadly+" ", sendings), nil
}

// sending is one attempt with a deadly request.
type sending struct {
	id string
	at time.Time
}

// isRepeatedTooOften reports whether more repeats of a deadly request reached replicas than
// RULES allows, sent later than the stable time after its third crash.
func (l *lab) isRepeatedTooOften(request string, sendings []sending) bool {
	l.mu.Lock()
	all := l.crashes[request]
	l.mu.Unlock()
	if len(all) < 3 {
		return false
	}
	late := 0
	for _, s := range sendings {
		if s.at.After(all[2].Add(stable)) && len(l.runsOf(s.id)) > 0 {
			late++
		}
	}
	l.say("after its third crash and %s more, %d repeats reached replicas; %d are allowed", stable, late, maxLate)
	return late > maxLate
}
