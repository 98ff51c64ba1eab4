// Command lab2 runs one case of the second review: it starts entry VMs as processes,
// plays the clients, the replicas and the platform on loopback addresses, and judges what
// these have seen.
//
// It exits with 0 if the rule held, 1 if it was broken and 2 if the case could not run.
// With TROUBLE=0 it leaves out the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sort"
	"syscall"
	"time"
)

const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// caseLimit ends a case that takes too long. The processes that it started end with it.
const caseLimit = 110 * time.Second

var cases = map[string]func(*lab) verdict{}

// verdict is the result of a case.
type verdict struct {
	broken bool
	reason string
}

func main() { os.Exit(run(os.Args[1:])) }

func run(arguments []string) int {
	if len(arguments) != 2 || cases[arguments[0]] == nil {
		var names []string
		for name := range cases {
			names = append(names, name)
		}
		sort.Strings(names)
		fmt.Fprintln(os.Stderr, "usage: lab2 CASE FOLDER; cases:", names)
		return exitNotRun
	}
	l, err := newLab(filepath.Join(arguments[1], "record.txt"), os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer l.close()
	return l.judge(cases[arguments[0]])
}

// judge runs a case and records its verdict. A failed step of the set-up ends it.
func (l *lab) judge(play func(*lab) verdict) (code int) {
	watchdog := time.AfterFunc(caseLimit, func() {
		l.note("the case took more than %s", caseLimit)
		l.close()
		os.Exit(exitNotRun)
	})
	defer watchdog.Stop()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-stopped
		l.note("the case was stopped")
		l.close()
		os.Exit(exitNotRun)
	}()
	defer func() {
		if failed, ok := recover().(setupError); ok {
			l.note("could not run: %s", string(failed))
			code = exitNotRun
		}
	}()
	result := play(l)
	if result.broken {
		l.note("BROKEN: %s", result.reason)
		return exitBroken
	}
	l.note("held: %s", result.reason)
	return exitHeld
}
