package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
	// limit is the longest time from the start to the result.
	limit = 105 * time.Second
)

// verdict is the result of a case.
type verdict struct {
	broken bool
	why    string
}

// cases are the cases by name. trouble is false if they are played without their disruption.
var cases = map[string]func(f *fleet, trouble bool) (verdict, error){
	"crashes":  playCrashes,
	"route":    playRoute,
	"abandon":  playAbandon,
	"serving":  playServing,
	"refusals": playRefusals,
	// It takes no place of a case.
	"schedules": playSchedules,
}

func main() { os.Exit(play()) }

func play() int {
	const wanted = 3
	over := time.After(limit)
	if len(os.Args) != wanted || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE RECORD")
		return exitNotRun
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	type result struct {
		verdict
		err error
	}
	results := make(chan result, 1)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	f, err := newFleet(rec)
	if f != nil {
		defer f.stop()
	}
	if err != nil {
		return report(rec, verdict{}, err)
	}
	go func() {
		if err := f.awaitReady(); err != nil {
			results <- result{err: err}
			return
		}
		v, err := cases[os.Args[1]](f, os.Getenv("TROUBLE") != "0")
		results <- result{v, err}
	}()
	select {
	case r := <-results:
		return report(rec, r.verdict, r.err)
	case s := <-stop:
		return report(rec, verdict{}, fmt.Errorf("stopped by %v", s))
	case <-over:
		return report(rec, verdict{}, fmt.Errorf("not over after %v", limit))
	}
}

func report(rec *record, v verdict, err error) int {
	switch {
	case err != nil:
		rec.add("result", "not run: %v", err)
		fmt.Println("not run:", err)
		return exitNotRun
	case v.broken:
		rec.add("result", "broken: %s", v.why)
		fmt.Println("broken:", v.why)
		return exitBroken
	}
	rec.add("result", "held: %s", v.why)
	fmt.Println("held:", v.why)
	return exitHeld
}
