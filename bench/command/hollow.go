package command

import (
	"context"
	"os"
	"path/filepath"
	"time"

	"github.com/dillchute/dillchute/bench/hollow"
	"github.com/dillchute/dillchute/command"
)

type hollowCommand struct {
	Nodes            int           `default:"17" help:"Hollow nodes."`
	Workers          int           `default:"310" help:"Hollow engines."`
	Controls         int           `default:"3" help:"Control replicas, as processes."`
	Regions          int           `default:"7" help:"Regions."`
	Zones            int           `default:"25" help:"Zones, spread over the regions."`
	Phase            time.Duration `default:"10s" help:"Length of the idle phase and of the phase of changes."`
	ChangesPerSecond float64       `default:"1" help:"Changes of declarations a second in their phase."`
	Trainers         int           `default:"6" help:"Trainers, each with a pool."`
	Samples          int           `default:"512" help:"Samples of a step."`
	SampleTokens     uint32        `default:"200" help:"Tokens of a sample."`
	Load             time.Duration `default:"1s" help:"Time that an engine takes to load weights."`
	Product          string        `help:"Path of the dillchute program; beside this one if not given." type:"path"`
	Report           string        `help:"File to write the report to, as JSON." type:"path"`
}

// Run measures one size.
func (c *hollowCommand) Run(ctx context.Context, streams command.Streams) error {
	if c.Nodes < 1 || c.Workers < 1 || c.Controls < 1 || c.Regions < 1 || c.Zones < c.Regions || c.Trainers < 1 || c.ChangesPerSecond <= 0 {
		return command.ErrUsage.New("sizes and rates must be positive, and there must be a zone for each region")
	}
	product, err := productBeside(c.Product)
	if err != nil {
		return err
	}
	folder, err := os.MkdirTemp("", "dillchute-hollow-")
	if err != nil {
		return command.ErrFailed.Wrap(err, "make a folder")
	}
	defer os.RemoveAll(folder)
	report, err := hollow.Measure(ctx, hollow.Config{
		Nodes: c.Nodes, Workers: c.Workers, Controls: c.Controls, Regions: c.Regions, Zones: c.Zones, Phase: c.Phase,
		ChangesPerSecond: c.ChangesPerSecond, Trainers: c.Trainers, Samples: c.Samples, SampleTokens: c.SampleTokens,
		Load: c.Load, Folder: folder, Product: product, Out: streams.Out,
	})
	if report != nil && c.Report != "" {
		if writeErr := report.Write(c.Report); writeErr != nil {
			return writeErr
		}
	}
	return err
}

// productBeside returns the path, or that of the product beside this program.
func productBeside(path string) (string, error) {
	if path != "" {
		return path, nil
	}
	own, err := os.Executable()
	if err != nil {
		return "", command.ErrFailed.Wrap(err, "find this program")
	}
	return filepath.Join(filepath.Dir(own), "dillchute"), nil
}
