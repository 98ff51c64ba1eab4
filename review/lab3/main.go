// Command lab3 plays the cases of the third review: it starts entry VMs as separate
// processes before stand-ins of the platform's store, of replicas and of clients.
//
// It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case
// could not run. With TROUBLE=0 in the environment it leaves out the disruption.
package main

import (
	"fmt"
	"os"
	"sort"
	"strings"
)

// play plays a case and reports whether its rule was broken.
type play func(*lab) (broken bool, err error)

var plays = map[string]play{
	"extra-refusal":  playExtraRefusal,
	"deadly-request": playDeadlyRequest,
	"long-turn":      playLongTurn,
	"many-parts":     playManyParts,
	"two-callers":    playTwoCallers,
}

func main() { os.Exit(run(os.Args[1:])) }

func run(arguments []string) int {
	var names []string
	for name := range plays {
		names = append(names, name)
	}
	sort.Strings(names)
	if len(arguments) != 2 || plays[arguments[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab3 CASE FOLDER; cases:", strings.Join(names, " "))
		return 2
	}
	l, err := newLab(arguments[1], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer l.close()
	broken, err := plays[arguments[0]](l)
	switch {
	case err != nil:
		l.say("could not run: %v", err)
		return 2
	case broken:
		l.say("the rule was broken")
		return 1
	}
	l.say("the rule held")
	return 0
}
