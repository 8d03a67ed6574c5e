// Package command implements the command line of dillchute-bench: the stand-ins,
// the fleet runner and the measurement tools.
package command

import (
	"context"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"github.com/dillchute/dillchute/bench/fleet"
	"github.com/dillchute/dillchute/bench/standin"
	"github.com/dillchute/dillchute/bench/workload"
	"github.com/dillchute/dillchute/command"
)

type root struct {
	Version kong.VersionFlag `help:"Print the version and exit."`

	Engine      engineCommand      `cmd:"" help:"Run a stand-in of a model engine."`
	WeightStore weightStoreCommand `cmd:"" help:"Run a stand-in of the weight store."`
	Trainer     trainerCommand     `cmd:"" help:"Run a stand-in of a trainer."`
	Scorer      scorerCommand      `cmd:"" help:"Run a stand-in of a scoring service."`
	Caller      callerCommand      `cmd:"" help:"Run a stand-in of a pool's callers."`
	Platform    platformCommand    `cmd:"" help:"Run a stand-in of the platform."`
	Fleet       fleetCommand       `cmd:"" help:"Run a whole deployment on this machine and report on it."`
	Simulate    simulateCommand    `cmd:"" help:"Run deployments in virtual time under faults."`
	Experiment  experimentCommand  `cmd:"" help:"Compare variants of a deployment in virtual time."`
	Plays       playsCommand       `cmd:"" help:"Days by design for the users' bench, and checks of their logs."`
}

// Main runs the command line and returns the exit code.
func Main(arguments []string, streams command.Streams) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return command.Run(ctx, "dillchute-bench", "Test bench of dillchute.", command.Version, &root{}, arguments, streams)
}

type engineCommand struct{ standin.Engine }

// Run runs the stand-in.
func (c *engineCommand) Run(ctx context.Context) error { return c.Engine.Run(ctx) }

type weightStoreCommand struct{ standin.WeightStore }

// Run runs the stand-in.
func (c *weightStoreCommand) Run(ctx context.Context) error { return c.WeightStore.Run(ctx) }

type trainerCommand struct{ standin.Trainer }

// Run runs the stand-in.
func (c *trainerCommand) Run(ctx context.Context) error { return c.Trainer.Run(ctx) }

type scorerCommand struct{ standin.Scorer }

// Run runs the stand-in.
func (c *scorerCommand) Run(ctx context.Context) error { return c.Scorer.Run(ctx) }

type callerCommand struct{ standin.Caller }

// Run runs the stand-in.
func (c *callerCommand) Run(ctx context.Context) error { return c.Caller.Run(ctx) }

type platformCommand struct{ standin.Platform }

// Run runs the stand-in.
func (c *platformCommand) Run(ctx context.Context) error { return c.Platform.Run(ctx) }

type fleetCommand struct {
	Workload string        `required:"" help:"The workload's file." type:"path"`
	Folder   string        `help:"Folder for the fleet's files; a temporary one, removed afterwards, if not given." type:"path"`
	Product  string        `help:"Path of the dillchute program; beside this one if not given." type:"path"`
	Faults   string        `help:"File of faults to inject." type:"path"`
	Report   string        `help:"File to write the report to, as JSON." type:"path"`
	Limit    time.Duration `default:"5m" help:"Longest time of the run."`
}

// Run runs the fleet and prints its report.
func (c *fleetCommand) Run(ctx context.Context, streams command.Streams) error {
	loaded, err := workload.Load(c.Workload)
	if err != nil {
		return command.ErrUsage.Wrap(err, "workload")
	}
	var faults []fleet.Fault
	if c.Faults != "" {
		if faults, err = fleet.LoadFaults(c.Faults); err != nil {
			return command.ErrUsage.Wrap(err, "faults")
		}
	}
	bench, err := os.Executable()
	if err != nil {
		return command.ErrFailed.Wrap(err, "find the path of this program")
	}
	if c.Product, err = productPath(c.Product); err != nil {
		return err
	}
	if c.Folder == "" {
		if c.Folder, err = os.MkdirTemp("", "dillchute-fleet-"); err != nil {
			return command.ErrFailed.Wrap(err, "create folder")
		}
		defer os.RemoveAll(c.Folder)
	}
	report, err := fleet.Run(ctx, fleet.Config{
		Workload: loaded, Folder: c.Folder, Product: c.Product, Bench: bench, Timeout: c.Limit, Faults: faults, Out: streams.Out,
	})
	if report != nil {
		report.Print(streams.Out)
		if c.Report != "" {
			if writeErr := report.Write(c.Report); writeErr != nil {
				return command.ErrFailed.Wrap(writeErr, "write report")
			}
		}
	}
	return err
}

// productPath returns the path, or by default that of dillchute in the folder of this program.
func productPath(path string) (string, error) {
	if path != "" {
		return path, nil
	}
	executable, err := os.Executable()
	if err != nil {
		return "", command.ErrFailed.Wrap(err, "find the path of this program")
	}
	return filepath.Join(filepath.Dir(executable), "dillchute"), nil
}
