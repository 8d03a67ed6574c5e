package server

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dillchute/dillchute/directory"
)

// TestOneAnswerServesAllWatchers checks that a round's answer for watchers at the same revision is
// encoded once.
func TestOneAnswerServesAllWatchers(t *testing.T) {
	f := newFeed()
	before := f.current()
	f.advance(7)
	<-before.next
	round := f.current()
	f.advance(7)
	require.Same(t, round, f.current(), "the same revision begins no round")
	var built atomic.Int64
	ask := func(since uint64, members string) *feedAnswer {
		return round.answer(feedKey{watch: directory.Watch{Since: since}, members: members}, func() (directory.Delta, bool) {
			built.Add(1)
			return directory.Delta{Revision: 8, Version: since}, true
		})
	}
	var wait sync.WaitGroup
	for range 1000 {
		wait.Go(func() { require.Equal(t, uint64(8), ask(5, "m").revision) })
	}
	wait.Wait()
	require.Equal(t, int64(1), built.Load())
	require.NotEqual(t, ask(5, "m").body, ask(6, "m").body)
	ask(5, "others")
	require.Equal(t, int64(3), built.Load())
}

// TestFeedIntervalGrowsWithWatchers checks that a replica's answers in a second are bounded, up to the
// longest interval.
func TestFeedIntervalGrowsWithWatchers(t *testing.T) {
	for watchers := range int(maxFeedInterval / feedIntervalPerWatcher) {
		answers := float64(watchers) * float64(time.Second) / float64(feedInterval(watchers))
		require.LessOrEqual(t, answers, 200.0)
	}
	require.Equal(t, maxFeedInterval, feedInterval(100000))
}
