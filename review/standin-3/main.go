// Command standin-3 plays a case of the review: it starts a store, workers and clients as stand-ins, and the machines of the
// system as separate processes with the command of the deploy file. It exits with 1 if a rule was broken, 0 if all held, and
// 2 if the case couldn't run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

type scenario func(*Site, options) error

type options struct {
	root    string
	trouble bool
	seed    uint64
	seconds int
}

var scenarios = map[string]struct {
	layout Layout
	play   scenario
}{}

func main() {
	name := flag.String("case", "", "the case to play")
	dir := flag.String("dir", ".", "where record.txt is written")
	keep := flag.Bool("keep", false, "keep the temporary folder with the logs of the machines")
	o := options{trouble: os.Getenv("TROUBLE") != "0"}
	flag.StringVar(&o.root, "root", ".", "root of the repository")
	flag.Uint64Var(&o.seed, "seed", 1, "seed of random choices")
	flag.IntVar(&o.seconds, "seconds", 30, "length, where a case has none of its own")
	flag.Parse()
	os.Exit(play(*name, *dir, *keep, o))
}

const startLimit = 25 * time.Second

func play(name, dir string, keep bool, o options) int {
	c, known := scenarios[name]
	if !known {
		fmt.Println("no such case:", name)
		return 2
	}
	c.layout.Dir = dir
	s, err := NewSite(c.layout)
	if err != nil {
		fmt.Println("cannot run:", err)
		return 2
	}
	defer s.Stop(keep)
	if keep {
		fmt.Println("logs:", s.dir)
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-interrupted
		s.Stop(keep)
		os.Exit(2)
	}()
	s.unguarded = os.Getenv("UNGUARDED") == "1"
	s.Configure(1, "/q0/", "/q1/")
	for z := range s.zones {
		for range c.layout.MachinesByZone {
			m, err := s.AddMachine(z)
			if err == nil {
				err = m.Start(o.root)
			}
			if err != nil {
				fmt.Println("cannot run:", err)
				return 2
			}
		}
	}
	if !s.AwaitReady(startLimit) {
		fmt.Println("cannot run: the machines aren't ready")
		return 2
	}
	time.Sleep(2 * time.Second)
	if err := c.play(s, o); err != nil {
		s.log("cannot run: %v", err)
		fmt.Println("cannot run:", err)
		return 2
	}
	if bad := s.Verdict(); len(bad) > 0 {
		for _, b := range bad[:min(len(bad), 20)] {
			fmt.Println("broken:", b)
		}
		return 1
	}
	fmt.Println("held")
	return 0
}
