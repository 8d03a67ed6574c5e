// Command dillchute-bench runs dillchute's stand-ins, the fleet runner and the
// measurement tools.
package main

import (
	"os"

	benchcommand "github.com/dillchute/dillchute/bench/command"
	"github.com/dillchute/dillchute/command"
)

func main() {
	os.Exit(benchcommand.Main(os.Args[1:], command.Streams{Out: os.Stdout, Err: os.Stderr}))
}
