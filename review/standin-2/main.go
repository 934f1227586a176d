// Command standin2 plays the cases of the second review: it starts the system's processes beside stand-ins for the
// platform's store, the workers and the clients, and judges what clients and workers have seen.
package main

import (
	"fmt"
	"os"
	"runtime"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	notRun = 2
)

// maxTime is the longest time of a case.
const maxTime = 110 * time.Second

var cases = map[string]func(s *site, trouble bool) (int, error){
	"cancel-best-effort": cancelBestEffort,
	"stop-while-waiting": stopWhileWaiting,
	"cancel-unanswered":  cancelUnanswered,
	"late-heartbeat":     lateBeat,
	"zone-loss":          zoneLoss,
	"frozen-home":        frozenHome,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: standin2 CASE RECORD")
		os.Exit(notRun)
	}
	runtime.LockOSThread() // the processes that it starts end with the thread that has started them
	s, err := startSite(os.Args[2], []int{2, 3, 3}, 8)
	code := notRun
	time.AfterFunc(maxTime, func() {
		fmt.Println("the case takes too long")
		os.Exit(notRun)
	})
	if err == nil {
		s.log("the site is ready")
		code, err = cases[os.Args[1]](s, os.Getenv("TROUBLE") != "0")
	}
	if s != nil {
		if err != nil {
			s.log("could not run: %v", err)
		}
		s.log("exit code %d", code)
		s.stop()
	}
	if err != nil {
		fmt.Println(err)
	}
	os.Exit(code)
}
