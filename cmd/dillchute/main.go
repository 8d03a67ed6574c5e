// Command dillchute runs dillchute's processes and operator commands.
package main

import (
	"os"

	"github.com/dillchute/dillchute/command"
	"github.com/dillchute/dillchute/platform"
)

func main() {
	os.Exit(command.Main(os.Args[1:], command.Streams{Out: os.Stdout, Err: os.Stderr}, &platform.Roles{}))
}
