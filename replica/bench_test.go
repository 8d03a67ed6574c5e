package replica

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"path/filepath"
	"runtime"
	"testing"
	"time"

	"github.com/gorilla/mux"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/dillchute/dillchute/consensus"
	"github.com/dillchute/dillchute/ledger"
)

const (
	benchSamples   = 1000
	benchTextBytes = 4 << 10
)

// benchGroup starts three replicas of a ledger with files on disk, connected over loopback.
func benchGroup(b *testing.B) []*Replica {
	logger := zerolog.Nop()
	var listeners []net.Listener
	var initialMembers consensus.Membership
	for number := range 3 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(b, err)
		listeners = append(listeners, listener)
		initialMembers.Members = append(initialMembers.Members, consensus.Member{
			ID: consensus.ReplicaID(number + 1), Address: listener.Addr().String(), Voter: true,
		})
	}
	ctx, stop := context.WithCancel(context.Background())
	b.Cleanup(stop)
	var replicas []*Replica
	for number, listener := range listeners {
		opened, err := Open(Settings{
			Cluster: "bench", Address: listener.Addr().String(), DataFolder: filepath.Join(b.TempDir(), fmt.Sprint(number)),
			Voters: 3, InitialMembers: initialMembers, Replica: initialMembers.Members[number].ID, Contacts: func() []string { return nil },
		}, ledger.NewMachine(), &logger)
		require.NoError(b, err)
		router := mux.NewRouter()
		opened.Handle(router)
		go http.Serve(listener, router)
		go opened.Run(ctx)
		replicas = append(replicas, opened)
	}
	return replicas
}

func waitForLeader(b *testing.B, replicas []*Replica) *Replica {
	var leader *Replica
	require.Eventually(b, func() bool {
		for _, candidate := range replicas {
			if candidate.Status().Serving {
				leader = candidate
			}
		}
		return leader != nil
	}, waitTimeout, time.Millisecond)
	return leader
}

// BenchmarkRecordResults records results of 4 KiB, ten per commit, on three replicas, and reports commits
// and results per second and the heap of all three.
func BenchmarkRecordResults(b *testing.B) {
	leader := waitForLeader(b, benchGroup(b))
	text := make([]byte, benchTextBytes)
	for position := range text {
		text[position] = 'x'
	}
	execute := func(command ledger.Command) {
		_, err := leader.Execute(context.Background(), command.Encode())
		require.NoError(b, err)
	}
	const perCommit = 10
	commits := 0
	for b.Loop() {
		step := &ledger.Step{ID: fmt.Sprint(commits)}
		for number := range perCommit {
			step.Samples = append(step.Samples, ledger.Sample{ID: fmt.Sprint(number)})
		}
		execute(ledger.Command{Submit: step})
		record := &ledger.Record{Step: step.ID}
		for number := range perCommit {
			record.Results = append(record.Results, ledger.Result{Sample: fmt.Sprint(number), Text: string(text)})
		}
		execute(ledger.Command{Record: record})
		if commits >= benchSamples/perCommit {
			execute(ledger.Command{Prune: &ledger.Prune{Steps: []string{fmt.Sprint(commits - benchSamples/perCommit)}}})
		}
		commits++
	}
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	seconds := b.Elapsed().Seconds()
	b.ReportMetric(float64(commits)/seconds, "records/s")
	b.ReportMetric(float64(commits*perCommit)/seconds, "results/s")
	b.ReportMetric(float64(memory.HeapSys)/(1<<20), "heap-MiB")
}
