package hollow

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
)

// Cost is what a phase took. NodeCore and the node's traffic are means over
// all nodes; the processor time includes that of the hollow engines.
type Cost struct {
	Seconds float64 `json:"seconds"`
	// ControlCore is each replica's share of a core, in ascending order.
	ControlCore []float64 `json:"control_core"`
	ControlMiB  []float64 `json:"control_mebibytes"`
	NodeCore    float64   `json:"node_core"`
	// NodeMiB is the shared process's resident memory for each node.
	NodeMiB      float64 `json:"node_mebibytes"`
	NodeMessages float64 `json:"node_messages_per_second"`
	NodeBytes    float64 `json:"node_bytes_per_second"`
	// Lapses is how often leases of nodes ended.
	Lapses uint64 `json:"lease_lapses"`
}

// String returns the cost in one line.
func (c Cost) String() string {
	return fmt.Sprintf("control %.3f of a core, %.0f MiB; a node %.4f of a core, %.1f MiB, %.1f messages/s, %.0f B/s, %d leases lapsed",
		c.ControlCore, c.ControlMiB, c.NodeCore, c.NodeMiB, c.NodeMessages, c.NodeBytes, c.Lapses)
}

// Spread sums up measured times, in milliseconds.
type Spread struct {
	Count int   `json:"count"`
	P50   int64 `json:"p50"`
	P99   int64 `json:"p99"`
	Max   int64 `json:"max"`
}

// String returns the spread in one line.
func (s Spread) String() string {
	return fmt.Sprintf("p50 %d, p99 %d, max %d ms (%d times)", s.P50, s.P99, s.Max, s.Count)
}

func spreadOf(times []int64) Spread {
	if len(times) == 0 {
		return Spread{}
	}
	sorted := slices.Sorted(slices.Values(times))
	return Spread{
		Count: len(sorted), P50: sorted[len(sorted)/2], P99: sorted[len(sorted)*99/100], Max: sorted[len(sorted)-1],
	}
}

// Report is the measurement of one size.
type Report struct {
	Nodes         int     `json:"nodes"`
	Workers       int     `json:"workers"`
	Controls      int     `json:"controls"`
	SettleMillis  int64   `json:"settle_milliseconds"`
	Idle          Cost    `json:"idle"`
	Changes       Cost    `json:"changes"`
	ChangeMillis  Spread  `json:"change_milliseconds"`
	WeightsMillis []int64 `json:"weights_milliseconds"`
	RestartMillis Spread  `json:"restart_milliseconds"`
	// ZoneLossMillis and ZoneReturnMillis are the times until every engine that
	// is left, or is back, has an owner.
	ZoneLossMillis   int64 `json:"zone_loss_milliseconds"`
	ZoneReturnMillis int64 `json:"zone_return_milliseconds"`
	Samples          Cost  `json:"samples"`
	SampleCount      int   `json:"sample_count"`
	SampleTokens     int   `json:"sample_tokens"`
}

const fileMode = 0o644

// Write writes the report as JSON.
func (r *Report) Write(path string) error {
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return ErrFailed.Wrap(err, "encode the report")
	}
	if err := os.WriteFile(path, append(data, '\n'), fileMode); err != nil {
		return ErrFailed.Wrap(err, "write the report")
	}
	return nil
}
