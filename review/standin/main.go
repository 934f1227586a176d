// Command standin plays a case of the review: it starts the entry machines of a small deployment as processes, with a
// store, workers and clients of its own, and checks one rule.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"
)

// Exit codes.
const (
	held   = 0
	broken = 1
	failed = 2
)

// maxLength is the longest time that a case may take.
const maxLength = 115 * time.Second

var cases = map[string]struct {
	stale time.Duration // age of what serializable reads return
	play  func(*world) error
}{
	"twice":     {2 * time.Second, playTwice},
	"waiting":   {0, playWaiting},
	"stuck":     {0, playStuck},
	"cancelled": {0, playCancelled},
	"order":     {0, playOrder},
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE REPOSITORY RECORD")
		os.Exit(failed)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

func play(name, repo, record string) int {
	c, known := cases[name]
	if !known {
		fmt.Fprintln(os.Stderr, "no case", name)
		return failed
	}
	if ms, err := strconv.Atoi(os.Getenv("STALE_MS")); err == nil {
		c.stale = time.Duration(ms) * time.Millisecond // to see what depends on it
	}
	wd, err := newWorld(repo, os.Getenv("TROUBLE") != "0", c.stale)
	if wd != nil {
		defer wd.close()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case cannot run:", err)
		return failed
	}
	done := make(chan error, 1)
	go func() { done <- c.play(wd) }()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case err = <-done:
	case <-time.After(maxLength):
		err = fmt.Errorf("the case took longer than %s", maxLength)
	case sig := <-signals:
		err = fmt.Errorf("ended by %s", sig)
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.CopyFS(keep, os.DirFS(wd.tmp))
	}
	if writeErr := wd.writeRecord(record); err == nil {
		err = writeErr
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return failed
	}
	wd.mu.Lock()
	defer wd.mu.Unlock()
	for i, line := range wd.broken {
		if i == 10 {
			fmt.Printf("and %d more\n", len(wd.broken)-i)
			break
		}
		fmt.Println("broken:", line)
	}
	if len(wd.broken) > 0 {
		return broken
	}
	fmt.Println("the rule held")
	return held
}
