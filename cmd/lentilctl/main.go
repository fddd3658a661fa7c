// Command lentilctl shows and changes the state of a region: by statements of
// the operators' language, or by declarations under version control.
package main

import (
	"os"
)

func main() {
	os.Exit(run(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
