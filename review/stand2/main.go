// Stand2 plays the cases of a review: small deployments of real processes with stand-ins for everything around them.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// cases holds the cases by name. Each returns whether the rule was broken, with what was seen.
var cases = map[string]func(recordPath string, trouble bool) (broken bool, seen string, err error){
	"attempts":  attempts,
	"restarted": restarted,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE RECORD")
		os.Exit(exitFailed)
	}
	broken, seen, err := cases[os.Args[1]](os.Args[2], os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		fmt.Println("the case could not run:", err)
		os.Exit(exitFailed)
	case broken:
		fmt.Println("BROKEN:", seen)
		os.Exit(exitBroken)
	}
	fmt.Println("held:", seen)
	os.Exit(exitHeld)
}
