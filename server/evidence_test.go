package server

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestEvidenceGrowsOld: a replica is certain to hold everything for a limited time after the
// beginning of a question whose answer it holds.
func TestEvidenceGrowsOld(t *testing.T) {
	began := time.Unix(1000, 0)
	e := newEvidence()
	require.False(t, e.proves(began), "nobody has confirmed anything")
	e.beginWatch(began)
	require.True(t, e.beginQuestion(began))
	e.noteConfirmed(confirmation{began: began, revision: 7})
	e.review(began, 6)
	require.False(t, e.proves(began), "the replica does not hold the revision")
	e.review(began, 7)
	require.True(t, e.proves(began.Add(evidenceLimit)))
	require.False(t, e.proves(began.Add(evidenceLimit+1)), "counted from the question's beginning")
}

// TestEvidenceLapses: watches are let go once the proof is too old, and held again with a new one.
func TestEvidenceLapses(t *testing.T) {
	began := time.Unix(1000, 0)
	e := newEvidence()
	e.beginWatch(began)
	e.review(began.Add(evidenceLimit), 1)
	require.False(t, e.hasLapsed(), "the first answer has time to come")
	late := began.Add(evidenceLimit + time.Millisecond)
	e.review(late, 1)
	require.True(t, e.hasLapsed())
	select {
	case <-e.Lapsed():
	default:
		t.Fatal("watches that are held learn of it")
	}
	e.endWatch(late)
	e.beginWatch(late)
	require.True(t, e.hasLapsed(), "a watcher that comes round again is told at once")
	e.noteConfirmed(confirmation{began: late, revision: 2})
	e.review(late, 1)
	require.True(t, e.hasLapsed(), "the replica trails")
	e.review(late, 2)
	require.False(t, e.hasLapsed())
}

// TestNoQuestionsWhileNobodyWatches: a replica asks one question at a time, and none while it is
// not watched. The next watcher is not held responsible for that.
func TestNoQuestionsWhileNobodyWatches(t *testing.T) {
	now := time.Unix(1000, 0)
	e := newEvidence()
	require.False(t, e.beginQuestion(now))
	e.beginWatch(now)
	require.True(t, e.beginQuestion(now))
	require.False(t, e.beginQuestion(now.Add(evidenceInterval)), "one at a time")
	e.endQuestion()
	require.False(t, e.beginQuestion(now.Add(evidenceInterval-1)))
	require.True(t, e.beginQuestion(now.Add(evidenceInterval)))
	e.endQuestion()
	e.endWatch(now)
	idle := now.Add(evidenceLinger)
	require.False(t, e.beginQuestion(idle))
	e.review(idle, 1)
	e.beginWatch(idle)
	e.review(idle, 1)
	require.False(t, e.hasLapsed())
	require.False(t, e.proves(idle))
}
