// Command lentilshed runs the parts of the load balancer: a balancer, an agent,
// or a demonstration of the whole system in one process.
package main

import (
	"os"
)

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}
