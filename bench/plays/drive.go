package plays

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Driver runs plays on the users' bench and records the results in the table.
type Driver struct {
	// Program is the users' bench.
	Program string
	// Repository is the checkout under test. It must not change while plays run.
	Repository string
	Sites      []string
	TableFile  string
	// Folder receives the day files and logs of plays with findings.
	Folder string
	// Jobs is the number of plays to run concurrently.
	Jobs int
	// Why is written to the bench's journal.
	Why string
	Out io.Writer

	mutex  sync.Mutex
	table  *Table
	commit string
}

// Selection determines which plays to run.
type Selection struct {
	// MaxPlays is the maximum number of plays, over all sites.
	MaxPlays int
	// Replay selects plays that are in the table but not for the current commit, those with findings
	// first. Otherwise plays that are not in the table are selected.
	Replay bool
	// NamePart is a substring of the names of the plays; empty selects all.
	NamePart string
	// TimeLimit is the time after which no further play starts; 0 means no limit.
	TimeLimit time.Duration
}

// job is one play of one site.
type job struct {
	path string
	site *Site
	play Play
}

// Run runs the selected plays, alternating between sites, and returns the number of plays that broke
// a rule or have findings.
func (d *Driver) Run(ctx context.Context, selection Selection) (found int, err error) {
	if err := d.prepare(ctx); err != nil {
		return 0, err
	}
	jobs, err := d.selectPlays(selection)
	if err != nil {
		return 0, err
	}
	startTime := time.Now()
	slots := make(chan struct{}, max(d.Jobs, 1))
	var group sync.WaitGroup
	var errs error
	for _, job := range jobs {
		slots <- struct{}{}
		if ctx.Err() != nil || selection.TimeLimit > 0 && time.Since(startTime) > selection.TimeLimit {
			break
		}
		group.Go(func() {
			defer func() { <-slots }()
			row, err := d.runPlay(ctx, job)
			d.mutex.Lock()
			defer d.mutex.Unlock()
			errs = errors.Join(errs, err)
			if row.Broken != "" || row.Found != "" {
				found++
			}
		})
	}
	group.Wait()
	return found, errs
}

func (d *Driver) prepare(ctx context.Context) (err error) {
	if d.table, err = LoadTable(d.TableFile); err != nil {
		return err
	}
	if err := os.MkdirAll(d.Folder, 0o755); err != nil {
		return ErrInvalid.Wrap(err, "create folder")
	}
	d.commit, err = d.commitName(ctx)
	return err
}

// commitName returns the short hash of the latest commit that changed anything but the bench's
// journal, with a suffix if there are uncommitted changes elsewhere.
func (d *Driver) commitName(ctx context.Context) (string, error) {
	commit, err := exec.CommandContext(ctx, "git", "-C", d.Repository, "log", "-1", "--format=%h", "--", ".", ":!journal").Output()
	if err != nil {
		return "", ErrInvalid.Wrap(err, "find the latest commit of %s", d.Repository)
	}
	changed, err := exec.CommandContext(ctx, "git", "-C", d.Repository, "status", "--porcelain", "--untracked-files=no", "--", ".", ":!journal").Output()
	if err != nil {
		return "", ErrInvalid.Wrap(err, "check %s for uncommitted changes", d.Repository)
	}
	name := strings.TrimSpace(string(commit))
	if len(changed) > 0 {
		name += "-changed"
	}
	return name, nil
}

// selectPlays returns the plays to run, alternating between sites.
func (d *Driver) selectPlays(selection Selection) ([]job, error) {
	var sites [][]job
	for _, path := range d.Sites {
		site, err := LoadSite(path)
		if err != nil {
			return nil, err
		}
		var selected []job
		for _, play := range Generate(site) {
			if d.selects(selection, site, play) {
				selected = append(selected, job{path, site, play})
			}
		}
		if selection.Replay {
			slices.SortStableFunc(selected, d.compareByFindings)
		}
		sites = append(sites, selected)
	}
	var jobs []job
	for rank := 0; len(jobs) < selection.MaxPlays; rank++ {
		before := len(jobs)
		for _, selected := range sites {
			if rank < len(selected) && len(jobs) < selection.MaxPlays {
				jobs = append(jobs, selected[rank])
			}
		}
		if len(jobs) == before {
			break
		}
	}
	return jobs, nil
}

// compareByFindings orders plays with findings before the others.
func (d *Driver) compareByFindings(a, b job) int {
	rank := func(job job) int {
		if d.table.Found(job.site.Name, job.play.Name) {
			return 0
		}
		return 1
	}
	return rank(a) - rank(b)
}

func (d *Driver) selects(selection Selection, site *Site, play Play) bool {
	if !play.Matches(selection.NamePart) {
		return false
	}
	played := d.table.Played(site.Name, play.Name, "")
	if selection.Replay {
		return played && !d.table.Played(site.Name, play.Name, d.commit)
	}
	return !played
}

// runPlay runs the play, checks its log and records the result in the table.
func (d *Driver) runPlay(ctx context.Context, job job) (Row, error) {
	row := Row{Site: job.site.Name, Play: job.play.Name, Seed: job.play.Seed, Commit: d.commit}
	day, err := job.play.Day(job.site)
	if err != nil {
		return row, err
	}
	stem := filepath.Join(d.Folder, job.site.Name+"-"+job.play.Name+"-"+d.commit)
	if err := os.WriteFile(stem+".toml", day, 0o644); err != nil {
		return row, ErrInvalid.Wrap(err, "write day file")
	}
	output, runErr := d.runBench(ctx, job, stem+".toml")
	if ctx.Err() != nil {
		return row, errors.Join(ErrNotPlayed.Wrap(ctx.Err(), "%s", job.play.Name), os.Remove(stem+".toml"))
	}
	log, err := ReadLog(bytes.NewReader(output))
	if err != nil {
		return row, err
	}
	findings := RunChecks(log, job.site.Bounds())
	row.Worth, row.Broken, row.Found = log.Worth, log.Broken, summarize(findings)
	row.Struck = job.play.injectedFaults(log)
	if log.Worth == "" {
		row.Unplayed = failureReason(output, runErr)
	}
	return row, errors.Join(d.saveArtifacts(row, stem, output, findings), d.record(row))
}

// injectedFaults returns how many of the play's faults were injected, as "3/4". Planned work is not
// counted, as it always happens.
func (p *Play) injectedFaults(log *Log) string {
	requested, observed := map[string]int{}, map[string]int{}
	for _, entry := range p.faults {
		kind, _ := entry["kind"].(string)
		requested[kind]++
	}
	for _, disruption := range log.Disruptions {
		observed[disruption.Kind]++
	}
	injected := 0
	for kind, count := range requested {
		injected += min(count, observed[kind])
	}
	return fmt.Sprintf("%d/%d", injected, len(p.faults))
}

// runBench runs the day on the bench. The bench exits with an error when a rule is broken, so callers
// treat only a missing result as a failure.
func (d *Driver) runBench(ctx context.Context, job job, day string) ([]byte, error) {
	command := exec.CommandContext(ctx, d.Program, "run", job.path, day, "--seed", strconv.Itoa(job.play.Seed),
		"--log", "all", "--jobs", "1", "--why", d.Why+": "+job.play.Name)
	command.Dir = d.Repository
	return command.CombinedOutput()
}

// failureReason returns the last line of output of a play without a result.
func failureReason(output []byte, err error) string {
	lines := strings.Split(strings.TrimSpace(string(output)), "\n")
	const longest = 200
	last := lines[len(lines)-1]
	return fmt.Sprintf("%v: %s", err, last[:min(len(last), longest)])
}

// saveArtifacts writes the log and findings of a play beside its day file, or removes the day file if
// there is nothing to report.
func (d *Driver) saveArtifacts(row Row, stem string, output []byte, findings []Finding) error {
	if row.Broken == "" && row.Found == "" && row.Unplayed == "" {
		return os.Remove(stem + ".toml")
	}
	var report strings.Builder
	for _, finding := range findings {
		fmt.Fprintln(&report, finding.String())
	}
	return errors.Join(os.WriteFile(stem+".log", output, 0o644), os.WriteFile(stem+".found", []byte(report.String()), 0o644))
}

// record adds the row to the table file and prints it.
func (d *Driver) record(row Row) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.table.Add(row)
	fmt.Fprintf(d.Out, "%s %s seed %d: worth %s, struck %s, broken: %s, found: %s %s\n", row.Site, row.Play, row.Seed,
		row.Worth, row.Struck, orNone(row.Broken), orNone(row.Found), row.Unplayed)
	return d.table.Write(d.TableFile)
}

func orNone(text string) string {
	if text == "" {
		return "none"
	}
	return text
}

// summarize returns the names of the checks that reported findings, each with its count.
func summarize(findings []Finding) string {
	counts := map[string]int{}
	for _, finding := range findings {
		counts[finding.Check]++
	}
	var names []string
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		names = append(names, fmt.Sprintf("%s %d", name, counts[name]))
	}
	return strings.Join(names, "; ")
}
