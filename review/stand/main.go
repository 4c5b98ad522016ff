// Command stand plays the cases of the review that are scripts: it stands in for the platform's store, the engines, the
// operator and the clients, and runs the project's daemon as separate processes.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// cases are the cases by name.
var cases = map[string]func(*world) error{
	"new-stream":         newStream,
	"foreign-entry":      foreignEntry,
	"cut-watch":          cutWatch,
	"large-changes":      largeChanges,
	"silent-connections": silentConnections,
	"long-events":        longEvents,
	"two-slashes":        twoSlashes,
	"last-engine":        lastEngine,
	"second-copies":      secondCopies,
	"last-key":           lastKey,
}

func main() { os.Exit(play()) }

func play() int {
	name := flag.String("case", "", "the case to play")
	dir := flag.String("dir", ".", "the folder for record.txt")
	program := flag.String("program", "target/bulrushpond", "the daemon's program")
	trouble := flag.Bool("trouble", true, "whether to bring about the disruption")
	daemons := flag.Int("daemons", 1, "the number of machines")
	flag.Parse()
	playCase, known := cases[*name]
	if !known {
		fmt.Fprintln(os.Stderr, "unknown case", *name)
		return 2
	}
	rec, err := newRecord(filepath.Join(*dir, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	temp, err := os.MkdirTemp("", "review")
	if err != nil {
		return rec.close(err)
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(temp) }()
	} else {
		fmt.Println("kept in", temp)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	w, err := newWorld(ctx, rec, *program, temp, *trouble, *daemons)
	if err != nil {
		return rec.close(err)
	}
	defer w.close()
	interrupted, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	result := make(chan error, 1)
	go func() { result <- playCase(w) }()
	select {
	case err := <-result:
		return rec.close(err)
	case <-interrupted.Done():
		return rec.close(errors.New("interrupted"))
	}
}
