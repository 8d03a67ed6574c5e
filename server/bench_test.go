package server

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	dillchutev1 "github.com/dillchute/dillchute/api/dillchute/v1"
	"github.com/dillchute/dillchute/client"
	"github.com/dillchute/dillchute/config"
	"github.com/dillchute/dillchute/consensus"
	"github.com/dillchute/dillchute/declaration"
	"github.com/dillchute/dillchute/protocol"
	"github.com/dillchute/dillchute/state"
	"github.com/dillchute/dillchute/storage"
)

const benchPool = "pool"

// startControlGroup starts a group of control replicas, each with its own data folder.
func startControlGroup(b *testing.B, count int, platform string) []string {
	var membership consensus.Membership
	var listeners []net.Listener
	var addresses []string
	for number := range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(b, err)
		listeners, addresses = append(listeners, listener), append(addresses, listener.Addr().String())
		membership.Members = append(membership.Members, consensus.Member{
			ID: consensus.ReplicaID(number + 1), Address: addresses[number], Voter: true,
		})
	}
	for number, listener := range listeners {
		settings := config.DefaultControl()
		settings.Cluster, settings.Address, settings.PlatformURL = "bench", addresses[number], platform
		settings.DataFolder = filepath.Join(b.TempDir(), fmt.Sprint(number))
		first := consensus.Snapshot{Index: 1, Term: 1, Membership: membership}
		require.NoError(b, storage.Init(settings.DataFolder, settings.Cluster, consensus.ReplicaID(number+1), first))
		logger := zerolog.Nop()
		replica, err := NewControl(settings, nil, &logger)
		require.NoError(b, err)
		runInBackground(b, func(ctx context.Context) { _ = replica.Run(ctx, listener) })
	}
	return addresses
}

func runInBackground(b *testing.B, run func(ctx context.Context)) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		run(ctx)
	}()
	b.Cleanup(func() {
		cancel()
		<-done
	})
}

func applyBenchPool(b *testing.B, controls *client.Client) {
	_, err := controls.Apply(context.Background(), &dillchutev1.ApplyRequest{ChangeId: "bench", Pools: []*dillchutev1.PoolSpec{
		declaration.ToProto(state.PoolSpec{
			Name: benchPool, Model: "m", EngineGroup: "g", Policy: state.ContinueRunning, LivePriority: 7, MaxQueuedRequests: 1 << 16,
			MaxQueuedTokens: 1 << 28, MaxSwappingPercent: 50, Disconnected: state.RefuseDisconnected,
		}),
	}})
	require.NoError(b, err)
}

// BenchmarkCommits measures durable commits by three replicas over loopback with many concurrent callers.
func BenchmarkCommits(b *testing.B) {
	addresses := startControlGroup(b, 3, "")
	applyBenchPool(b, client.New(addresses))
	var step atomic.Uint64
	b.SetParallelism(8)
	b.ResetTimer()
	b.RunParallel(func(parallel *testing.PB) {
		controls := client.New(addresses)
		for parallel.Next() {
			request := &dillchutev1.SubmitStepRequest{Pool: benchPool, Step: step.Add(1), Samples: []*dillchutev1.SamplePrompt{{MaxTokens: 1}}}
			if _, err := controls.SubmitStep(context.Background(), request); err != nil {
				b.Error(err)
				return
			}
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commits/s")
}

// BenchmarkSync measures one transaction of the store with an entry of 256 bytes.
func BenchmarkSync(b *testing.B) {
	folder := b.TempDir()
	require.NoError(b, storage.Init(folder, "bench", 1, consensus.Snapshot{Index: 1, Term: 1}))
	store, _, err := storage.Open(folder, "bench")
	require.NoError(b, err)
	defer store.Close()
	for index := uint64(2); b.Loop(); index++ {
		ready := consensus.Ready{
			HardState: &consensus.HardState{Term: 1, Commit: index - 1},
			Entries:   []consensus.Entry{{Term: 1, Index: index, Data: make([]byte, 256)}},
		}
		require.NoError(b, store.Save(ready))
	}
}

// instantEngine answers every request immediately with one token.
func instantEngine() http.Handler {
	var mutex sync.Mutex
	report := protocol.EngineReport{Engine: "e1", Model: "m"}
	mux := http.NewServeMux()
	mux.HandleFunc("/v1/generate", func(response http.ResponseWriter, request *http.Request) {
		var start protocol.EngineStart
		_ = json.NewDecoder(request.Body).Decode(&start)
		chunk, _ := json.Marshal(protocol.EngineChunk{Attempt: start.Attempt, Epoch: start.Epoch, Version: 1, Tokens: []uint32{7}, Done: true})
		fmt.Fprintf(response, "data: %s\n\n", chunk)
	})
	mux.HandleFunc("/v1/orders", func(response http.ResponseWriter, request *http.Request) {
		var order protocol.EngineOrder
		_ = json.NewDecoder(request.Body).Decode(&order)
		mutex.Lock()
		defer mutex.Unlock()
		report.Epoch, report.Sequence = order.Epoch, order.Sequence
		report.Version = max(report.Version, order.Version)
		_ = json.NewEncoder(response).Encode(protocol.EngineOrderResult{Epoch: order.Epoch, Sequence: order.Sequence, Done: true})
	})
	mux.HandleFunc("/v1/status", func(response http.ResponseWriter, _ *http.Request) {
		mutex.Lock()
		defer mutex.Unlock()
		_ = json.NewEncoder(response).Encode(report)
	})
	return mux
}

// startNode starts a node with one engine and returns the addresses for callers and of the engine.
func startNode(b *testing.B) (callerAddress, engineAddress string) {
	engine := httptest.NewServer(instantEngine())
	b.Cleanup(engine.Close)
	engineAddress = strings.TrimPrefix(engine.URL, "http://")
	platform := httptest.NewServer(http.HandlerFunc(func(response http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(response).Encode([]platformEngine{{ID: "e1", Zone: "z", Region: "r", Group: "g", Address: engineAddress, Slots: 4096}})
	}))
	b.Cleanup(platform.Close)
	addresses := startControlGroup(b, 1, platform.URL)
	controls := client.New(addresses)
	applyBenchPool(b, controls)
	_, err := controls.PublishWeights(context.Background(), &dillchutev1.PublishWeightsRequest{Model: "m", Version: 1})
	require.NoError(b, err)
	internal, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	callers, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	settings := config.DefaultNode()
	settings.ID, settings.Zone, settings.Region, settings.Controls = "n1", "z", "r", addresses
	settings.Address, settings.CallerAddress = internal.Addr().String(), callers.Addr().String()
	settings.DrainTimeout = time.Second
	logger := zerolog.Nop()
	node := NewNode(settings, &logger)
	runInBackground(b, func(ctx context.Context) { _ = node.Run(ctx, internal, callers) })
	return callers.Addr().String(), engineAddress
}

func post(url string, body string) (int, error) {
	response, err := http.Post(url, "application/json", strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

const (
	nodeBody   = `{"model":"pool","prompt":"p","max_tokens":1}`
	engineBody = `{"attempt":"a","prompt":"p","max_tokens":1}`
)

// BenchmarkLiveLatency compares sequential requests through a node with the same requests sent directly to
// the engine.
func BenchmarkLiveLatency(b *testing.B) {
	callers, engine := startNode(b)
	require.Eventually(b, func() bool {
		status, err := post("http://"+callers+"/v1/completions", nodeBody)
		return err == nil && status == http.StatusOK
	}, testTimeout, 20*time.Millisecond)
	for name, target := range map[string][2]string{
		"node":   {"http://" + callers + "/v1/completions", nodeBody},
		"engine": {"http://" + engine + "/v1/generate", engineBody},
	} {
		b.Run(name, func(b *testing.B) {
			var latencies []time.Duration
			for b.Loop() {
				start := time.Now()
				status, err := post(target[0], target[1])
				require.NoError(b, err)
				require.Equal(b, http.StatusOK, status)
				latencies = append(latencies, time.Since(start))
			}
			slices.Sort(latencies)
			b.ReportMetric(float64(latencies[len(latencies)/2].Microseconds()), "p50-us")
			b.ReportMetric(float64(latencies[len(latencies)*99/100].Microseconds()), "p99-us")
		})
	}
}

// BenchmarkLiveRequests measures the throughput of one node with callers and engine on the same machine.
func BenchmarkLiveRequests(b *testing.B) {
	callers, _ := startNode(b)
	url := "http://" + callers + "/v1/completions"
	require.Eventually(b, func() bool {
		status, err := post(url, nodeBody)
		return err == nil && status == http.StatusOK
	}, testTimeout, 20*time.Millisecond)
	http.DefaultTransport.(*http.Transport).MaxIdleConnsPerHost = 256
	var failed atomic.Int64
	b.SetParallelism(4)
	b.ResetTimer()
	b.RunParallel(func(parallel *testing.PB) {
		for parallel.Next() {
			if status, err := post(url, nodeBody); err != nil || status != http.StatusOK {
				failed.Add(1)
			}
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
	b.ReportMetric(float64(failed.Load()), "failed")
}
