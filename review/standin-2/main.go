// Command standin-2 runs one case of the review: the project's own programs as separate
// processes on loopback addresses, between stand-ins for clients, targets and the platform.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// cases has the cases by name. Each reports whether the rule was broken.
var cases = map[string]func(repo string, rec *record, trouble bool) (bool, error){
	"zone_cut":            zoneCut,
	"malformed_heartbeat": malformedHeartbeat,
	"route_moved":         routeMoved,
	"lost_machines":       lostMachines,
}

// main takes the name of a case, the repository and the folder of the case.
func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	if len(args) != 3 || cases[args[0]] == nil {
		fmt.Println("usage: standin-2 CASE REPOSITORY FOLDER")
		return exitFailed
	}
	rec, err := newRecord(filepath.Join(args[2], "record.txt"))
	if err != nil {
		fmt.Println(err)
		return exitFailed
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("case %s, disruption %v", args[0], trouble)
	broken, err := cases[args[0]](args[1], rec, trouble)
	switch {
	case err != nil:
		rec.add("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		return exitFailed
	case broken:
		rec.add("the rule was broken")
		fmt.Println("the rule was broken")
		return exitBroken
	}
	rec.add("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
