// Command standin-2 plays the cases of the second review: it starts the project's nodes as
// processes of their own, and is the store, the targets and the clients around them.
//
// # Usage
//
//	standin-2 CASE ROOT FOLDER TROUBLE
//
// ROOT is the repository's folder and FOLDER that of the case, where record.txt is written.
// If TROUBLE is 0, the disruption is left out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by name. Each returns whether the rule held.
var cases = map[string]func(s *site, trouble bool) (held bool, err error){}

func main() {
	if len(os.Args) != 5 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE ROOT FOLDER TROUBLE")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3], os.Args[4] != "0"))
}

func play(name, root, folder string, trouble bool) int {
	s, err := newSite(root, folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer s.stop()
	s.stopEarly()
	s.log("case %s, disruption: %t", name, trouble)
	held, err := cases[name](s, trouble)
	if s.interrupted.Load() {
		select {} // stopEarly ends the program; what the clients saw of its end is no result
	}
	switch {
	case err != nil:
		s.log("not run: %v", err)
		fmt.Println("not run:", err)
		return exitNotRun
	case !held:
		s.log("the rule was broken")
		fmt.Println("the rule was broken")
		return exitBroken
	}
	s.log("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}

// maxTime is the longest that a case may take.
const maxTime = 110 * time.Second

// stopEarly ends all processes and the program if it is told to stop or takes too long.
func (s *site) stopEarly() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		select {
		case <-signals:
		case <-time.After(maxTime):
		}
		s.interrupted.Store(true)
		s.log("not run: interrupted")
		s.stop()
		os.Exit(exitNotRun)
	}()
}
