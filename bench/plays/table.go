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

// Row says how a play went on a commit.
type Row struct {
	Site, Play string
	Seed       int
	// Commit is the product's commit that was played.
	Commit string
	// Worth is what the day was worth, as the bench told it; empty if it gave no result.
	Worth string
	// Struck says how many of the day's faults struck, of how many: "3/4". The bench leaves
	// out what would lose more than may be lost, or finds no place for it.
	Struck string
	// Broken are the rules that the bench saw broken.
	Broken string
	// Found are the checks that fired, each once.
	Found string
	// Unplayed is why the bench gave no result.
	Unplayed string
}

// Table is the plays that have been made.
type Table struct{ Rows []Row }

var columns = []string{"site", "play", "seed", "commit", "worth", "struck", "broken", "found", "unplayed"}

// LoadTable reads the table; one that does not exist yet is empty.
func LoadTable(path string) (*Table, error) {
	file, err := os.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		return &Table{}, nil
	}
	if err != nil {
		return nil, ErrInvalid.Wrap(err, "read the table of plays")
	}
	defer file.Close()
	reader := csv.NewReader(file)
	reader.FieldsPerRecord = len(columns)
	records, err := reader.ReadAll()
	if err != nil {
		return nil, ErrInvalid.Wrap(err, "read the table of plays")
	}
	if len(records) == 0 || !slices.Equal(records[0], columns) {
		return nil, ErrInvalid.New("the table of plays does not begin with the columns %v", columns)
	}
	table := &Table{}
	for _, record := range records[1:] {
		seed, err := strconv.Atoi(record[2])
		if err != nil {
			return nil, ErrInvalid.Wrap(err, "seed of %s", record[1])
		}
		table.Rows = append(table.Rows, Row{Site: record[0], Play: record[1], Seed: seed, Commit: record[3],
			Worth: record[4], Struck: record[5], Broken: record[6], Found: record[7], Unplayed: record[8]})
	}
	return table, nil
}

// Add puts the row into the table, in the place of one of the same play, seed and
// commit.
func (t *Table) Add(row Row) {
	t.Rows = slices.DeleteFunc(t.Rows, func(other Row) bool { return compareRows(other, row) == 0 })
	t.Rows = append(t.Rows, row)
	slices.SortFunc(t.Rows, compareRows)
}

func compareRows(a, b Row) int {
	return cmp.Or(cmp.Compare(a.Site, b.Site), cmp.Compare(a.Play, b.Play), cmp.Compare(a.Commit, b.Commit), cmp.Compare(a.Seed, b.Seed))
}

// Played tells whether the site's play has been made on the commit, or on any for
// an empty one.
func (t *Table) Played(site, play, commit string) bool {
	commits := t.Commits(site, play)
	if commit == "" {
		return len(commits) > 0
	}
	return slices.Contains(commits, commit)
}

// Commits returns the commits on which the site's play has been made.
func (t *Table) Commits(site, play string) []string {
	var commits []string
	for _, row := range t.Rows {
		if row.Site == site && row.Play == play && !slices.Contains(commits, row.Commit) {
			commits = append(commits, row.Commit)
		}
	}
	return commits
}

// Found tells whether the site's play has found something on any commit.
func (t *Table) Found(site, play string) bool {
	return slices.ContainsFunc(t.Rows, func(row Row) bool {
		return row.Site == site && row.Play == play && (row.Broken != "" || row.Found != "")
	})
}

// Write writes the table, in order.
func (t *Table) Write(path string) error {
	temporary := path + ".new"
	file, err := os.Create(temporary)
	if err != nil {
		return ErrInvalid.Wrap(err, "write the table of plays")
	}
	writer := csv.NewWriter(file)
	records := [][]string{columns}
	for _, row := range t.Rows {
		records = append(records, []string{row.Site, row.Play, strconv.Itoa(row.Seed), row.Commit, row.Worth, row.Struck, row.Broken, row.Found, row.Unplayed})
	}
	if err := errors.Join(writer.WriteAll(records), file.Close(), os.Rename(temporary, path)); err != nil {
		return ErrInvalid.Wrap(err, "write the table of plays")
	}
	return nil
}
