package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	notRun     = 2
)

// maxRunTime is how long a case may take.
const maxRunTime = 115 * time.Second

// cases are the cases by their names. Each returns whether the rule was broken.
var cases = map[string]func(r *rig, trouble bool) (bool, error){
	"beside":   runBeside,
	"unborn":   runUnborn,
	"oversize": runOversize,
	"pause":    runPause,
	"moved":    runMoved,
}

func main() {
	os.Exit(run(os.Args[1:], os.Getenv("TROUBLE") != "0"))
}

// run runs the case of a name and writes its record into a folder. All processes of the case have ended when it returns.
func run(args []string, trouble bool) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand3 CASE FOLDER")
		return notRun
	}
	r, err := newRig(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer r.close()
	r.note("case %s, with the disruption: %t", args[0], trouble)
	result := make(chan int, 1)
	go func() { result <- r.judge(cases[args[0]](r, trouble)) }()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	select {
	case code := <-result:
		return code
	case <-stop:
	case <-time.After(maxRunTime):
	}
	r.note("the case was ended before its end")
	return notRun
}

// judge writes the result of a case to the record and returns its exit code.
func (r *rig) judge(broken bool, err error) int {
	switch {
	case err != nil:
		r.note("the case could not run: %s", err)
		return notRun
	case broken:
		r.note("the rule was broken")
		return ruleBroken
	}
	r.note("the rule held")
	return ruleHeld
}
