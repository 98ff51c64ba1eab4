package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// playTwoCallers repeats the look-up of one tenant that crashes each replica that begins to
// run it, while another tenant's look-ups with the same path are served.
func playTwoCallers(l *lab) (bool, error) {
	const (
		length, pause      = 40 * time.Second, 700 * time.Millisecond
		deadly             = lookupPath + "4b"
		badTenant, badKey  = "hule930", "timaj3nr26tta828m82t"
		goodTenant, goodAs = "pama114", "hhkmgjqnirth5mgjy5rc"
	)
	tenant := func(name, key string) map[string]any {
		return map[string]any{"name": name, "apiKeys": []string{key}, "priority": 1, "ratePerS": 776, "burst": 776}
	}
	l.deploy(map[string]any{"tenants": []map[string]any{tenant(badTenant, badKey), tenant(goodTenant, goodAs)}})
	crashes := func(c call) bool { return l.trouble && c.tenant == badTenant }
	if err := l.startReplicas(9, counter, 6, sound(behaviour{work: 50 * time.Millisecond, crashes: crashes, restart: restartTime})); err != nil {
		return false, err
	}
	if err := l.startVMs(3, 144, inTurn); err != nil {
		return false, err
	}
	lookUp := func(v *vm, id, key string) reply {
		return l.once(v, attempt{id: id, method: http.MethodGet, path: deadly, limit: 1500 * time.Millisecond, header: map[string]string{"X-Key": key}})
	}
	end := time.Now().Add(length)
	var wait sync.WaitGroup
	good, served := 0, 0
	wait.Go(func() {
		for ; time.Now().Before(end); good++ {
			if r := lookUp(l.vms[good%len(l.vms)], fmt.Sprintf("f%015x", good), goodAs); r.err == nil && r.status == http.StatusOK {
				served++
			}
			time.Sleep(50 * time.Millisecond)
		}
	})
	// Each machine has answered many look-ups when the first deadly one comes.
	time.Sleep(8 * time.Second)
	var sendings []sending
	for i := 0; time.Now().Before(end); i++ {
		s := sending{id: fmt.Sprintf("d%015x", i), at: time.Now()}
		sendings = append(sendings, s)
		lookUp(l.vms[i%len(l.vms)], s.id, badKey)
		time.Sleep(pause)
	}
	wait.Wait()
	l.say("%d look-ups of %s, %d served; those of %s were sent %d times and crashed %d replicas",
		good, goodTenant, served, badTenant, len(sendings), len(l.crashes[deadly+" "+badTenant]))
	return l.isRepeatedTooOften(deadly+" "+badTenant, sendings), nil
}
