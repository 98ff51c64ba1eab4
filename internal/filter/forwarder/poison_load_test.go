package forwarder_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/goldentest"
)

// soundBody returns the body of the n-th sound request that VM i gets.
func soundBody(line goldentest.Fields, i, n int) string {
	if line.Has("common_body") {
		return "sound"
	}
	if line.Has("accounts") {
		return "poison 0"
	}
	return fmt.Sprint("sound ", i, " ", n)
}

// input returns the body as the caller sent it, which is a part of the one that the
// upstream receives.
func input(line goldentest.Fields, body string) []byte {
	if line.Has("common_input") {
		return []byte("yes")
	}
	return []byte(body)
}

// sendPoison sends copies of a poisonous request to random VMs until the end of the
// play. A copy is sent again, unchanged, when it fails.
func (f *poisonFleet) sendPoison(line goldentest.Fields, p, vms int, send func(vm int, body string) *failure.Error) {
	random := rand.New(rand.NewPCG(3, uint64(p)))
	for time.Since(f.start) < poisonPlayTime {
		time.Sleep(time.Duration(random.IntN(int(time.Second))))
		body := fmt.Sprint("poison ", p)
		if !line.Has("shared_target") {
			body += "," + strings.Repeat(" history", random.IntN(9))
		}
		for range poisonCopies {
			if send(random.IntN(vms), body) == nil {
				f.served.Store(true)
				break
			}
			time.Sleep(poisonPause)
		}
	}
}

// target returns the target of a request. Each request has its own, or all share one.
// A later copy of a poisonous request has a longer body.
func target(line goldentest.Fields, body string) string {
	if line.Has("shared_target") {
		return "/"
	}
	request, _, _ := strings.Cut(body, ",")
	return "/" + strings.ReplaceAll(request, " ", "/")
}
