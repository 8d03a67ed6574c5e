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

// Driver makes plays on the users' bench and keeps the table.
type Driver struct {
	// Program is the users' bench.
	Program string
	// Repository is the checkout that is played. Nothing may change in it meanwhile.
	Repository string
	// Sites are the paths of the site files.
	Sites []string
	// TableFile is the table's file.
	TableFile string
	// Folder takes the days and logs of the plays that found something.
	Folder string
	// Jobs is the number of plays at the same time.
	Jobs int
	// Why goes into the bench's journal.
	Why string
	Out io.Writer

	mutex  sync.Mutex
	table  *Table
	commit string
}

// Choice says which plays to make.
type Choice struct {
	// Count is how many at the most, all of the sites together.
	Count int
	// Again: those that stand in the table, but not for the present commit, and of them first
	// those that found something; else those that do not stand there.
	Again bool
	// Name is what the names of the plays hold; empty for all.
	Name string
	// Limit is the time after which no further play begins; 0 for none.
	Limit time.Duration
}

// job is one play of one site.
type job struct {
	path string
	site *Site
	play Play
}

// Play makes the plays chosen, the sites in turn, and returns the number of those
// in which a rule was broken or a check fired.
func (d *Driver) Play(ctx context.Context, choice Choice) (found int, err error) {
	if err := d.prepare(ctx); err != nil {
		return 0, err
	}
	jobs, err := d.choose(choice)
	if err != nil {
		return 0, err
	}
	began := time.Now()
	free := make(chan struct{}, max(d.Jobs, 1))
	var group sync.WaitGroup
	var failed error
	for _, one := range jobs {
		free <- struct{}{}
		if ctx.Err() != nil || choice.Limit > 0 && time.Since(began) > choice.Limit {
			break
		}
		group.Go(func() {
			defer func() { <-free }()
			row, err := d.playOne(ctx, one)
			d.mutex.Lock()
			defer d.mutex.Unlock()
			failed = errors.Join(failed, err)
			if row.Broken != "" || row.Found != "" {
				found++
			}
		})
	}
	group.Wait()
	return found, failed
}

func (d *Driver) prepare(ctx context.Context) (err error) {
	if d.table, err = LoadTable(d.TableFile); err != nil {
		return err
	}
	if err := os.MkdirAll(d.Folder, 0o755); err != nil {
		return ErrInvalid.Wrap(err, "make the folder for findings")
	}
	d.commit, err = d.nameCommit(ctx)
	return err
}

// nameCommit returns the short name of the newest commit that changed more than
// the bench's journal, marked if anything else is changed beside it.
func (d *Driver) nameCommit(ctx context.Context) (string, error) {
	commit, err := exec.CommandContext(ctx, "git", "-C", d.Repository, "log", "-1", "--format=%h", "--", ".", ":!journal").Output()
	if err != nil {
		return "", ErrInvalid.Wrap(err, "name the commit of %s", d.Repository)
	}
	changed, err := exec.CommandContext(ctx, "git", "-C", d.Repository, "status", "--porcelain", "--untracked-files=no", "--", ".", ":!journal").Output()
	if err != nil {
		return "", ErrInvalid.Wrap(err, "look for changes in %s", d.Repository)
	}
	name := strings.TrimSpace(string(commit))
	if len(changed) > 0 {
		name += "-changed"
	}
	return name, nil
}

// choose returns the plays to make, the sites in turn.
func (d *Driver) choose(choice Choice) ([]job, error) {
	var sites [][]job
	for _, path := range d.Sites {
		site, err := LoadSite(path)
		if err != nil {
			return nil, err
		}
		var chosen []job
		for _, play := range Generate(site) {
			if d.wanted(choice, site, play) {
				chosen = append(chosen, job{path, site, play})
			}
		}
		if choice.Again {
			slices.SortStableFunc(chosen, d.findingsFirst)
		}
		sites = append(sites, chosen)
	}
	var jobs []job
	for rank := 0; len(jobs) < choice.Count; rank++ {
		before := len(jobs)
		for _, chosen := range sites {
			if rank < len(chosen) && len(jobs) < choice.Count {
				jobs = append(jobs, chosen[rank])
			}
		}
		if len(jobs) == before {
			break
		}
	}
	return jobs, nil
}

// findingsFirst puts the plays that have found something before the others.
func (d *Driver) findingsFirst(a, b job) int {
	rank := func(one job) int {
		if d.table.Found(one.site.Name, one.play.Name) {
			return 0
		}
		return 1
	}
	return rank(a) - rank(b)
}

func (d *Driver) wanted(choice Choice, site *Site, play Play) bool {
	if !play.Matches(choice.Name) {
		return false
	}
	played := d.table.Played(site.Name, play.Name, "")
	if choice.Again {
		return played && !d.table.Played(site.Name, play.Name, d.commit)
	}
	return !played
}

// playOne makes the play, checks its logs and puts it into the table.
func (d *Driver) playOne(ctx context.Context, one job) (Row, error) {
	row := Row{Site: one.site.Name, Play: one.play.Name, Seed: one.play.Seed, Commit: d.commit}
	day, err := one.play.Day(one.site)
	if err != nil {
		return row, err
	}
	stem := filepath.Join(d.Folder, one.site.Name+"-"+one.play.Name+"-"+d.commit)
	if err := os.WriteFile(stem+".toml", day, 0o644); err != nil {
		return row, ErrInvalid.Wrap(err, "write the day of a play")
	}
	output, runErr := d.run(ctx, one, stem+".toml")
	if ctx.Err() != nil {
		return row, errors.Join(ErrNotPlayed.Wrap(ctx.Err(), "%s", one.play.Name), os.Remove(stem+".toml"))
	}
	log, err := ReadLog(bytes.NewReader(output))
	if err != nil {
		return row, err
	}
	findings := Find(log, one.site.Bounds())
	row.Worth, row.Broken, row.Found = log.Worth, log.Broken, namesOf(findings)
	row.Struck = one.play.struck(log)
	if log.Worth == "" {
		row.Unplayed = reason(output, runErr)
	}
	return row, errors.Join(d.keep(row, stem, output, findings), d.enter(row))
}

// struck returns how many of the play's faults struck, of how many. The faults of
// a day differ from its planned work, which always happens.
func (p *Play) struck(log *Log) string {
	wanted, happened := map[string]int{}, map[string]int{}
	for _, entry := range p.faults {
		kind, _ := entry["kind"].(string)
		wanted[kind]++
	}
	for _, one := range log.Disruptions {
		happened[one.Kind]++
	}
	struck := 0
	for kind, count := range wanted {
		struck += min(count, happened[kind])
	}
	return fmt.Sprintf("%d/%d", struck, len(p.faults))
}

// run has the bench play the day. It ends with a failure when a rule is broken, so
// only a missing result is an error.
func (d *Driver) run(ctx context.Context, one job, day string) ([]byte, error) {
	command := exec.CommandContext(ctx, d.Program, "run", one.path, day, "--seed", strconv.Itoa(one.play.Seed),
		"--log", "all", "--jobs", "1", "--why", d.Why+": "+one.play.Name)
	command.Dir = d.Repository
	return command.CombinedOutput()
}

// reason returns the bench's last words of a play without a result.
func reason(output []byte, err error) string {
	lines := strings.Split(strings.TrimSpace(string(output)), "\n")
	const longest = 200
	last := lines[len(lines)-1]
	return fmt.Sprintf("%v: %s", err, last[:min(len(last), longest)])
}

// keep leaves the day and the log of a play that found something, and removes
// those of others.
func (d *Driver) keep(row Row, stem string, output []byte, findings []Finding) error {
	if row.Broken == "" && row.Found == "" && row.Unplayed == "" {
		return os.Remove(stem + ".toml")
	}
	var report strings.Builder
	for _, finding := range findings {
		fmt.Fprintln(&report, finding.String())
	}
	return errors.Join(os.WriteFile(stem+".log", output, 0o644), os.WriteFile(stem+".found", []byte(report.String()), 0o644))
}

// enter puts the row into the table's file and prints it.
func (d *Driver) enter(row Row) error {
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

// namesOf returns the names of the checks that fired, each once with its number.
func namesOf(findings []Finding) string {
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
