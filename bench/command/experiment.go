package command

import (
	"github.com/dillchute/dillchute/bench/experiment"
	"github.com/dillchute/dillchute/command"
)

type experimentCommand struct {
	File string `required:"" help:"The experiment's file." type:"path"`
	CSV  string `help:"File to write the figures of each run to." type:"path"`
}

// Run runs the experiment and prints the comparison.
func (c *experimentCommand) Run(streams command.Streams) error {
	loaded, err := experiment.Load(c.File)
	if err != nil {
		return command.ErrUsage.Wrap(err, "experiment")
	}
	outcomes := loaded.Run()
	loaded.Print(streams.Out, outcomes)
	if c.CSV == "" {
		return nil
	}
	return experiment.WriteCSV(c.CSV, outcomes)
}
