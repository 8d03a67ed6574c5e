package event

import (
	"fmt"
	"os"
	"regexp"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestEventsMatchDocumentation checks that docs/EVENTS.md lists exactly the events of the code.
func TestEventsMatchDocumentation(t *testing.T) {
	data, err := os.ReadFile("../docs/EVENTS.md")
	require.NoError(t, err)
	var listed, defined []string
	for _, row := range regexp.MustCompile(`(?m)^\| (\d+) \| (\w+) \| ([^|]+) \|`).FindAllStringSubmatch(string(data), -1) {
		listed = append(listed, fmt.Sprintf("%s %s %s", row[1], row[2], row[3]))
	}
	numbers := map[int]bool{}
	for _, event := range All {
		require.False(t, numbers[event.Number], "duplicate event %d", event.Number)
		numbers[event.Number] = true
		defined = append(defined, fmt.Sprintf("%d %s %s", event.Number, event.Level, event.Message))
	}
	require.Equal(t, defined, listed)
}
