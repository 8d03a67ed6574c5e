// Package golden tests that this build can read data written by earlier builds. A golden file holds
// each kind of message, log entry or record with all fields set, as encoded bytes and as JSON by
// field name. Decoding the bytes must yield the same fields, and encoding these the same bytes.
package golden

import (
	"encoding/hex"
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/stretchr/testify/require"
)

var (
	writeTo  = flag.String("golden.write", "", "write the golden data of this build to this file, relative to the package's folder")
	readFrom = flag.String("golden.read", "", "check this file of a later build, comparing only the fields that this build knows")
)

// goldenFolder holds the files of earlier builds, relative to the tested package.
const goldenFolder = "testdata/golden"

// Kind is a type of value that is exchanged between builds or stored.
type Kind struct {
	Name string
	// Zero is the zero value of the type. IsUnion is true if exactly one field is set.
	Zero    any
	IsUnion bool
	Encode  func(value any) []byte
	Decode  func(data []byte, into any) error
}

// Case is a value written by an earlier build.
type Case struct {
	Kind  string `json:"kind"`
	Bytes string `json:"bytes"`
	// Fields is the value in JSON, by field name.
	Fields json.RawMessage `json:"fields"`
}

// Check compares the kinds with the golden files of earlier builds, or with the file given by
// -golden.read. With -golden.write it writes a golden file instead.
func Check(t *testing.T, kinds []Kind) {
	if *writeTo != "" {
		WriteJSON(t, *writeTo, casesFor(t, kinds))
		return
	}
	for _, file := range Files(t, "kinds-*.json") {
		var cases []Case
		ReadJSON(t, file, &cases)
		require.NotEmpty(t, cases)
		for _, written := range cases {
			t.Run(filepath.Base(file)+"/"+written.Kind, func(t *testing.T) { checkCase(t, kinds, written) })
		}
	}
}

// Files returns the golden files to read.
func Files(t *testing.T, pattern string) []string {
	if *readFrom != "" {
		return []string{*readFrom}
	}
	files, err := filepath.Glob(filepath.Join(goldenFolder, pattern))
	require.NoError(t, err)
	require.NotEmpty(t, files)
	return files
}

// OutputFile returns the file given by -golden.write, and whether it is set.
func OutputFile() (string, bool) { return *writeTo, *writeTo != "" }

// WriteJSON writes the content to a file as JSON.
func WriteJSON(t *testing.T, path string, content any) {
	data, err := json.MarshalIndent(content, "", " ")
	require.NoError(t, err)
	require.NoError(t, os.MkdirAll(filepath.Dir(path), 0o755))
	require.NoError(t, os.WriteFile(path, append(data, '\n'), 0o644))
}

// ReadJSON reads a file written by WriteJSON.
func ReadJSON(t *testing.T, path string, into any) {
	data, err := os.ReadFile(path)
	require.NoError(t, err)
	require.NoError(t, json.Unmarshal(data, into))
}

// casesFor returns a case for each kind with all fields set, and for each field of a union.
func casesFor(t *testing.T, kinds []Kind) []Case {
	var cases []Case
	for _, kind := range kinds {
		for _, value := range variants(kind) {
			fields, err := json.Marshal(value.value)
			require.NoError(t, err)
			cases = append(cases, Case{Kind: value.name, Bytes: hex.EncodeToString(kind.Encode(value.value)), Fields: fields})
		}
	}
	return cases
}

func checkCase(t *testing.T, kinds []Kind, written Case) {
	kind, ok := findKind(kinds, written.Kind)
	require.True(t, ok, "unknown kind")
	data, err := hex.DecodeString(written.Bytes)
	require.NoError(t, err)
	value := reflect.New(reflect.TypeOf(kind.Zero))
	require.NoError(t, kind.Decode(data, value.Interface()))
	fields, err := json.Marshal(value.Elem().Interface())
	require.NoError(t, err)
	if *readFrom != "" {
		// The file is from a later build, which may have additional fields.
		RequireCompatible(t, fields, written.Fields)
		return
	}
	RequireCompatible(t, written.Fields, fields)
	require.Equal(t, Canonical(t, data), Canonical(t, kind.Encode(value.Elem().Interface())))
}
