package plays

import (
	"cmp"
	"encoding/csv"
	"errors"
	"io/fs"
	"os"
	"slices"
	"strconv"
)

// Row is the result of a play on a commit.
type Row struct {
	Site, Play string
	Seed       int
	// Commit is the commit under test.
	Commit string
	// Worth is the score of the day as the bench prints it; empty if there was no result.
	Worth string
	// Struck is the number of injected faults out of those in the day, as in "3/4". The bench skips
	// faults that would exceed the tolerated losses or that match no machine.
	Struck string
	// Broken lists the rules that the bench reports as broken.
	Broken string
	// Found lists the checks with findings, each with its count.
	Found string
	// Unplayed is the reason for a missing result.
	Unplayed string
}

// Table holds the results of all plays.
type Table struct{ Rows []Row }

var columns = []string{"site", "play", "seed", "commit", "worth", "struck", "broken", "found", "unplayed"}

// LoadTable reads the table. A missing file is an empty table.
func LoadTable(path string) (*Table, error) {
	file, err := os.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		return &Table{}, nil
	}
	if err != nil {
		return nil, ErrInvalid.Wrap(err, "read play table")
	}
	defer file.Close()
	reader := csv.NewReader(file)
	reader.FieldsPerRecord = len(columns)
	records, err := reader.ReadAll()
	if err != nil {
		return nil, ErrInvalid.Wrap(err, "read play table")
	}
	if len(records) == 0 || !slices.Equal(records[0], columns) {
		return nil, ErrInvalid.New("the header of the play table must be %v", columns)
	}
	table := &Table{}
	for _, record := range records[1:] {
		seed, err := strconv.Atoi(record[2])
		if err != nil {
			return nil, ErrInvalid.Wrap(err, "parse seed of %s", record[1])
		}
		table.Rows = append(table.Rows, Row{Site: record[0], Play: record[1], Seed: seed, Commit: record[3],
			Worth: record[4], Struck: record[5], Broken: record[6], Found: record[7], Unplayed: record[8]})
	}
	return table, nil
}

// Add adds the row and replaces an earlier one of the same play, seed and commit.
func (t *Table) Add(row Row) {
	t.Rows = slices.DeleteFunc(t.Rows, func(other Row) bool { return compareRows(other, row) == 0 })
	t.Rows = append(t.Rows, row)
	slices.SortFunc(t.Rows, compareRows)
}

func compareRows(a, b Row) int {
	return cmp.Or(cmp.Compare(a.Site, b.Site), cmp.Compare(a.Play, b.Play), cmp.Compare(a.Commit, b.Commit), cmp.Compare(a.Seed, b.Seed))
}

// Played reports whether the site's play was run on the commit, or on any commit if it is empty.
func (t *Table) Played(site, play, commit string) bool {
	commits := t.Commits(site, play)
	if commit == "" {
		return len(commits) > 0
	}
	return slices.Contains(commits, commit)
}

// Commits returns the commits on which the site's play was run.
func (t *Table) Commits(site, play string) []string {
	var commits []string
	for _, row := range t.Rows {
		if row.Site == site && row.Play == play && !slices.Contains(commits, row.Commit) {
			commits = append(commits, row.Commit)
		}
	}
	return commits
}

// Found reports whether the site's play had findings or broken rules on any commit.
func (t *Table) Found(site, play string) bool {
	return slices.ContainsFunc(t.Rows, func(row Row) bool {
		return row.Site == site && row.Play == play && (row.Broken != "" || row.Found != "")
	})
}

// Write replaces the table file.
func (t *Table) Write(path string) error {
	temporary := path + ".new"
	file, err := os.Create(temporary)
	if err != nil {
		return ErrInvalid.Wrap(err, "write play table")
	}
	writer := csv.NewWriter(file)
	records := [][]string{columns}
	for _, row := range t.Rows {
		records = append(records, []string{row.Site, row.Play, strconv.Itoa(row.Seed), row.Commit, row.Worth, row.Struck, row.Broken, row.Found, row.Unplayed})
	}
	if err := errors.Join(writer.WriteAll(records), file.Close(), os.Rename(temporary, path)); err != nil {
		return ErrInvalid.Wrap(err, "write play table")
	}
	return nil
}
