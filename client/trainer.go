package client

import (
	"context"
	"time"

	dillchutev1 "github.com/dillchute/dillchute/api/dillchute/v1"
)

// Trainer fetches the samples of one pool for one trainer process. Each sample is
// returned once. The caller must store the cursor together with the results of the
// samples, and pass it to NewTrainer after a restart.
type Trainer struct {
	client   *Client
	pool     string
	session  uint64
	sequence uint64
	cursor   uint64
}

// NewTrainer returns a trainer that continues after the cursor. The session must be
// higher than that of any earlier process of the pool's trainer.
func NewTrainer(client *Client, pool string, session, cursor uint64) *Trainer {
	return &Trainer{client: client, pool: pool, session: session, cursor: cursor}
}

// Cursor returns the number of the last delivery that Fetch has returned.
func (t *Trainer) Cursor() uint64 { return t.cursor }

// Fetch acknowledges the samples returned by earlier calls and waits at most the given
// time for more. It returns an ErrRejected error if a later session has started.
func (t *Trainer) Fetch(ctx context.Context, heldVersion uint64, limit uint32, wait time.Duration) (*dillchutev1.FetchResponse, error) {
	request := &dillchutev1.FetchRequest{
		Pool: t.pool, Session: t.session, Sequence: t.sequence, Cursor: t.cursor,
		HeldVersion: heldVersion, MaxSamples: limit, WaitMilliseconds: uint32(wait.Milliseconds()),
	}
	response, err := t.client.fetch(ctx, request)
	t.sequence = request.Sequence
	if err != nil {
		return nil, err
	}
	if !response.Valid {
		return nil, ErrRejected.New("fetch from pool %q was superseded by a later fetch or session", t.pool)
	}
	for _, sample := range response.Samples {
		t.cursor = sample.Delivery
	}
	return response, nil
}
