package command

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/dillchute/dillchute/bench/plays"
	"github.com/dillchute/dillchute/command"
)

type playsCommand struct {
	List  playsListCommand  `cmd:"" help:"Print the plays of a site, and on which commits each has been made."`
	Write playsWriteCommand `cmd:"" help:"Write the days of a site's plays."`
	Check playsCheckCommand `cmd:"" help:"Check the logs of plays."`
	Run   playsRunCommand   `cmd:"" help:"Make the next plays on the users' bench and enter them in the table."`
}

type playsListCommand struct {
	Site  string `required:"" type:"existingfile" help:"The site file."`
	Table string `default:"bench/plays/played.csv" type:"path" help:"The table of plays."`
}

// Run prints the plays and their commits.
func (c *playsListCommand) Run(streams command.Streams) error {
	site, err := plays.LoadSite(c.Site)
	if err != nil {
		return err
	}
	table, err := plays.LoadTable(c.Table)
	if err != nil {
		return err
	}
	out := tabwriter.NewWriter(streams.Out, 0, 0, 2, ' ', 0)
	playedCount, generated := 0, plays.Generate(site)
	for _, play := range generated {
		commits := table.Commits(site.Name, play.Name)
		playedCount += min(len(commits), 1)
		fmt.Fprintf(out, "%s\tseed %d\t%s\n", play.Name, play.Seed, strings.Join(commits, " "))
	}
	fmt.Fprintf(out, "%d of %d plays run\n", playedCount, len(generated))
	return out.Flush()
}

type playsWriteCommand struct {
	Site   string `required:"" type:"existingfile" help:"The site file."`
	Folder string `required:"" type:"path" help:"Folder for the days."`
	Name   string `help:"What the names of the plays must hold."`
}

// Run writes the day files.
func (c *playsWriteCommand) Run(streams command.Streams) error {
	site, err := plays.LoadSite(c.Site)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(c.Folder, 0o755); err != nil {
		return command.ErrFailed.Wrap(err, "create folder")
	}
	written := 0
	for _, play := range plays.Generate(site) {
		if !play.Matches(c.Name) {
			continue
		}
		day, err := play.Day(site)
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(c.Folder, site.Name+"-"+play.Name+".toml"), day, 0o644); err != nil {
			return command.ErrFailed.Wrap(err, "write day file")
		}
		written++
	}
	fmt.Fprintf(streams.Out, "%d days written\n", written)
	return nil
}

type playsCheckCommand struct {
	Site string   `required:"" type:"existingfile" help:"The site file."`
	Logs []string `arg:"" type:"existingfile" help:"What the bench printed of plays with --log all."`
}

// Run prints the findings of the checks.
func (c *playsCheckCommand) Run(streams command.Streams) error {
	site, err := plays.LoadSite(c.Site)
	if err != nil {
		return err
	}
	found := 0
	for _, path := range c.Logs {
		findings, err := checkFile(path, site)
		if err != nil {
			return err
		}
		for _, finding := range findings {
			fmt.Fprintf(streams.Out, "%s: %s\n", filepath.Base(path), finding.String())
		}
		found += len(findings)
	}
	if found > 0 {
		return command.ErrFailed.New("%d findings", found)
	}
	return nil
}

func checkFile(path string, site *plays.Site) ([]plays.Finding, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, command.ErrFailed.Wrap(err, "open log")
	}
	defer file.Close()
	log, err := plays.ReadLog(file)
	if err != nil {
		return nil, err
	}
	return plays.RunChecks(log, site.Bounds()), nil
}

type playsRunCommand struct {
	Program    string        `required:"" type:"existingfile" help:"The users' bench."`
	Sites      []string      `arg:"" type:"existingfile" help:"Site files, played in turn."`
	Repository string        `default:"." type:"existingdir" help:"The checkout that is played; nothing may change in it meanwhile."`
	Table      string        `default:"bench/plays/played.csv" type:"path" help:"The table of plays."`
	Folder     string        `default:"data/plays" type:"path" help:"Folder for the days and logs of plays that find something."`
	Count      int           `default:"10" help:"How many plays to make."`
	Again      bool          `help:"Make plays that stand in the table for other commits, instead of new ones."`
	Name       string        `help:"What the names of the plays must hold."`
	Jobs       int           `default:"3" help:"Plays at the same time."`
	Limit      time.Duration `help:"Time after which no further play begins."`
	Why        string        `required:"" help:"What is looked for, for the journal."`
}

// Run runs the plays.
func (c *playsRunCommand) Run(ctx context.Context, streams command.Streams) error {
	driver := &plays.Driver{Program: c.Program, Repository: c.Repository, Sites: c.Sites, TableFile: c.Table,
		Folder: c.Folder, Jobs: c.Jobs, Why: c.Why, Out: streams.Out}
	found, err := driver.Run(ctx, plays.Selection{MaxPlays: c.Count, Replay: c.Again, NamePart: c.Name, TimeLimit: c.Limit})
	if err != nil {
		return err
	}
	if found > 0 {
		return command.ErrFailed.New("%d plays broke rules or have findings", found)
	}
	return nil
}
