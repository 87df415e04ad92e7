// Command world plays a small deployment for the review's scripts: it stands in for the
// platform's store, the runners and the clients as the users' pages describe them, starts
// the instances of corianderbank as separate processes, and checks one rule.
//
//	main.go       the arguments, and the result as exit status
//	record.go     what was sent, answered and run
//	store.go      the platform's store
//	runner.go     the runners; runner_http.go: their interface
//	instance.go   the processes of the system
//	client.go     the clients
//	deployment.go all of it together
//	lost.go       the check of rule LOST
//	overflow.go, outage.go, reclaim.go: the cases
//	schedules.go, entries.go: what the report names beside them
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// The exit statuses that a script passes on.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// errBroken is returned by a case in which the rule was broken.
var errBroken = errors.New("the rule was broken")

// cases are the cases by their names.
var cases = map[string]func(*deployment, bool) error{
	"overflow":  playOverflow,
	"outage":    playOutage,
	"reclaim":   playReclaim,
	"schedules": playSchedules,
	"crashing":  playCrashing,
	"rack":      playRack,
}

func main() {
	os.Exit(run())
}

func run() int {
	name := flag.String("case", "", "the case to play")
	binary := flag.String("binary", "target/corianderbank", "the program of the system")
	recordFile := flag.String("record", "record.txt", "the file that tells what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "play the disruption")
	flag.Parse()
	play := cases[*name]
	if play == nil {
		fmt.Fprintf(os.Stderr, "no case %q\n", *name)
		return exitNotRun
	}
	d, err := newDeployment(*binary, *recordFile)
	if d != nil {
		defer d.close()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-stopped
		d.close()
		os.Exit(exitNotRun)
	}()
	err = play(d, *trouble)
	switch {
	case errors.Is(err, errBroken):
		d.record.printf("RESULT broken: %v", err)
		return exitBroken
	case err != nil:
		d.record.printf("RESULT not run: %v", err)
		return exitNotRun
	}
	d.record.printf("RESULT held")
	return exitHeld
}
