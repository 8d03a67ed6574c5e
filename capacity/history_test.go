package capacity

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dillchute/dillchute/routing"
)

// TestSlotsNeededExtrapolatesGrowth checks that growth is extrapolated over the lead time, and that a peak
// counts until the window ends.
func TestSlotsNeededExtrapolatesGrowth(t *testing.T) {
	history := &demandHistory{}
	for now := int64(0); now <= 9000; now += 500 {
		slots := 20.0
		if now >= 6000 {
			slots = 30
		}
		history.record(now, slots, 0)
	}
	require.InDelta(t, 40, history.slotsNeeded(9000, 4500), 1e-9)
	require.InDelta(t, 35, history.slotsNeeded(9000, 2250), 1e-9, "a shorter lead time")
	for now := int64(9500); now <= 20000; now += 500 {
		history.record(now, 10, 0)
		require.GreaterOrEqual(t, history.slotsNeeded(now, 4500), 10.0)
		if now <= 17500 {
			require.GreaterOrEqual(t, history.slotsNeeded(now, 4500), 30.0, "the peak is still in the window")
		}
	}
	require.InDelta(t, 10, history.slotsNeeded(20000, 4500), 1e-9)
}

// TestRecordDemandWithoutPlan checks that demand recorded between plans leaves no gap in the history.
func TestRecordDemandWithoutPlan(t *testing.T) {
	p := NewPlanner()
	for now := int64(0); now <= 2*baseWindow.Milliseconds(); now += 500 {
		p.RecordDemand(now, routing.Scale{BootMillis: 4000}, Demand{Running: 3, Work: []Work{{DueMillis: 10000, SlotMillis: 30000}}})
	}
	require.True(t, p.history.isConclusive(2*baseWindow.Milliseconds()))
	plan := p.Plan(2*baseWindow.Milliseconds(), Fleet{Zones: []string{"a"}, Scale: routing.Scale{Most: 9}})
	require.InDelta(t, 3, plan.Slots, 1e-9)
}

// TestSlotsNeededIncludesMeanUsage covers steps that end long before they are due.
func TestSlotsNeededIncludesMeanUsage(t *testing.T) {
	history := &demandHistory{}
	for now := int64(0); now < 8000; now += 500 {
		history.record(now, 0, 0)
	}
	for now := int64(8000); now < 24000; now += 500 {
		running := 0.0
		if now%4000 < 1000 {
			running = 200
		}
		history.record(now, 10, running)
		if now == 8000 {
			require.InDelta(t, 10, history.slotsNeeded(now, 4900), 1e-9, "the first step has just begun")
		}
		if now == 19500 {
			require.InDelta(t, 50*11.5/16, history.readings[len(history.readings)-1].needed, 1e-9, "time before the first step does not count, and the next step may be about to begin")
		}
	}
	for now := int64(24000); now < 48000; now += 500 {
		running := 0.0
		if now%4000 < 1000 {
			running = 200
		}
		history.record(now, 10, running)
	}
	require.InDelta(t, 50, history.slotsNeeded(47500, 4900), 5)
	for now := int64(48000); now <= 84500; now += 500 {
		history.record(now, 10, 0)
		if now == 60000 {
			require.Greater(t, history.slotsNeeded(now, 4900), 30.0, "this may be a longer pause")
		}
	}
	require.InDelta(t, 10, history.slotsNeeded(84500, 4900), 1e-9, "usage has left the averaging window")
}

// TestHistoryIsConclusive checks that a history is conclusive only after a window with work and without a
// gap, or after the longest window without work.
func TestHistoryIsConclusive(t *testing.T) {
	history := &demandHistory{}
	require.False(t, history.isFresh(0))
	recordRange := func(from, to int64, slots float64) {
		for now := from; now <= to; now += 500 {
			history.record(now, slots, 0)
		}
	}
	recordRange(0, 60000, 0)
	require.False(t, history.isConclusive(60000))
	recordRange(60500, 69000, 10)
	require.False(t, history.isConclusive(69000))
	recordRange(69500, 69500, 0)
	require.True(t, history.isConclusive(69500))
	require.False(t, history.isConclusive(69500+maxReadingGap.Milliseconds()+1), "a gap without readings")
	recordRange(80000, 88500, 10)
	require.False(t, history.isConclusive(88500), "the history restarted after the gap")
	recordRange(89000, 89000, 10)
	require.True(t, history.isConclusive(89000))
	history.widenWindow()
	require.False(t, history.isConclusive(89000))

	idle := &demandHistory{}
	for now := int64(0); now < maxWindow.Milliseconds(); now += 500 {
		require.False(t, idle.isConclusive(now))
		idle.record(now, 0, 0)
	}
	require.True(t, idle.isConclusive(maxWindow.Milliseconds()))
}

// TestWidenWindow checks that the window doubles up to its maximum.
func TestWidenWindow(t *testing.T) {
	history := &demandHistory{}
	history.record(0, 50, 0)
	history.widenWindow()
	history.record(17000, 1, 0)
	require.InDelta(t, 50, history.slotsNeeded(17000, 4900), 1e-9)
	for range 20 {
		history.widenWindow()
	}
	require.Equal(t, maxWindow, history.window)
}
