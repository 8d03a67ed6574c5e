package command_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	dillchutev1 "github.com/dillchute/dillchute/api/dillchute/v1"
	"github.com/dillchute/dillchute/bench/model"
	"github.com/dillchute/dillchute/bench/standin"
	"github.com/dillchute/dillchute/client"
	"github.com/dillchute/dillchute/command"
	"github.com/dillchute/dillchute/config"
	"github.com/dillchute/dillchute/server"
)

const (
	waitTimeout  = time.Minute
	pollInterval = 20 * time.Millisecond
	// fastStepMillis and slowStepMillis are the engine's times per token. With the
	// slow one, the longest response takes much longer than waitTimeout.
	fastStepMillis = 1.0
	slowStepMillis = 100.0
	slots          = 8
	poolsYAML      = `pools:
  - name: chat
    model: m
    engine_group: g
    weight_policy: continue
    max_staleness_versions: 1
`
)

// deployment runs a control replica, a node and an engine in the test process.
type deployment struct {
	t              *testing.T
	folder         string
	controlAddress string
	callerAddress  string
	settings       config.Control
	stopReplica    context.CancelFunc
	replicaDone    chan struct{}
}

func listen(t *testing.T) (net.Listener, string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return listener, listener.Addr().String()
}

// newDeployment starts a deployment whose engine takes stepMillis per token.
func newDeployment(t *testing.T, stepMillis float64) *deployment {
	d := &deployment{t: t, folder: t.TempDir()}
	require.NoError(t, os.Mkdir(filepath.Join(d.folder, "pools"), 0o700))
	d.write("pools/pools.yaml", poolsYAML)
	engine := d.startEngine(stepMillis)
	platform := httptest.NewServer(http.HandlerFunc(func(response http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(response).Encode([]map[string]any{{"id": "e1", "zone": "a", "region": "r", "group": "g", "address": engine, "slots": slots}})
	}))
	t.Cleanup(platform.Close)
	listener, address := listen(t)
	d.controlAddress = address
	d.settings = config.DefaultControl()
	d.settings.Cluster, d.settings.Address, d.settings.PlatformURL = "test", address, platform.URL
	d.settings.DataFolder = filepath.Join(d.folder, "data")
	d.expectOutput(0, "replica 1 of cluster test is set up", "control", "init", "--cluster", "test", "--address", address,
		"--data-folder", d.settings.DataFolder, "--replica", "1", "--members", "1="+address)
	d.startControl(listener)
	d.startNode()
	t.Cleanup(func() { d.stopControl() })
	return d
}

func (d *deployment) write(name, text string) {
	require.NoError(d.t, os.WriteFile(filepath.Join(d.folder, name), []byte(text), 0o600))
}

func (d *deployment) startEngine(stepMillis float64) string {
	store := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	d.t.Cleanup(store.Close)
	listener, address := listen(d.t)
	engine := &standin.Engine{Name: "e1", Model: "m", Slots: slots, StepMillis: stepMillis, ChunkTokens: 1, SwapMillis: 10, WeightStore: store.URL, Tick: time.Millisecond}
	d.runInBackground(func(ctx context.Context) error { return engine.Serve(ctx, listener) })
	return address
}

// runInBackground runs a function until the test ends, and then waits for it.
func (d *deployment) runInBackground(serve func(ctx context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		// If it fails, the test's expectations fail.
		_ = serve(ctx)
	}()
	d.t.Cleanup(func() {
		cancel()
		<-done
	})
}

func (d *deployment) startControl(listener net.Listener) {
	logger := zerolog.Nop()
	replica, err := server.NewControl(d.settings, nil, &logger)
	require.NoError(d.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	d.stopReplica, d.replicaDone = cancel, make(chan struct{})
	go func() {
		defer close(d.replicaDone)
		_ = replica.Run(ctx, listener)
	}()
}

func (d *deployment) stopControl() {
	d.stopReplica()
	<-d.replicaDone
}

func (d *deployment) startNode() {
	internalListener, address := listen(d.t)
	callerListener, callerAddress := listen(d.t)
	d.callerAddress = callerAddress
	settings := config.DefaultNode()
	settings.ID, settings.Zone, settings.Region, settings.Address = "n1", "a", "r", address
	settings.CallerAddress, settings.Controls, settings.DrainTimeout = callerAddress, []string{d.controlAddress}, 5*time.Second
	logger := zerolog.Nop()
	node := server.NewNode(settings, &logger)
	d.runInBackground(func(ctx context.Context) error { return node.Run(ctx, internalListener, callerListener) })
}

// runCommand runs a command line and returns its exit code and output.
func (d *deployment) runCommand(arguments ...string) (int, string) {
	var out bytes.Buffer
	code := command.Main(arguments, command.Streams{Out: &out, Err: &out})
	return code, out.String()
}

func (d *deployment) expectOutput(code int, text string, arguments ...string) string {
	d.t.Helper()
	got, out := d.runCommand(arguments...)
	require.Equal(d.t, code, got, "%v: %s", arguments, out)
	require.Contains(d.t, out, text)
	return out
}

// expectControlOutput is expectOutput for a command that calls the control replica.
func (d *deployment) expectControlOutput(code int, text string, arguments ...string) string {
	d.t.Helper()
	return d.expectOutput(code, text, append(arguments, "--controls", d.controlAddress)...)
}

func (d *deployment) awaitControlOutput(text string, arguments ...string) {
	d.t.Helper()
	require.Eventually(d.t, func() bool {
		_, out := d.runCommand(append(arguments, "--controls", d.controlAddress)...)
		return strings.Contains(out, text)
	}, waitTimeout, pollInterval)
}

func (d *deployment) complete(body string, headers map[string]string) (int, http.Header, string) {
	request, err := http.NewRequest(http.MethodPost, "http://"+d.callerAddress+"/v1/completions", strings.NewReader(body))
	require.NoError(d.t, err)
	request.Header.Set("Content-Type", "application/json")
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	require.NoError(d.t, err)
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	require.NoError(d.t, err)
	return response.StatusCode, response.Header, string(data)
}

// TestOperatorCommands checks the output and the exit codes of each operator command.
func TestOperatorCommands(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, fastStepMillis)
	pools := filepath.Join(d.folder, "pools")
	d.expectOutput(0, "1 pools are valid", "validate", pools)
	d.expectOutput(1, "has been initialised before", "control", "init", "--cluster", "test", "--address", d.controlAddress,
		"--data-folder", d.settings.DataFolder, "--replica", "1", "--members", "1="+d.controlAddress)
	d.awaitControlOutput("e1", "status")
	d.awaitControlOutput("owner=n1", "status")
	d.expectControlOutput(0, "+ pool chat", "diff", pools)
	d.expectControlOutput(0, "in force on 1 nodes", "apply", pools, "--wait", "--change-id", "first", "--commit", "abc", "--author", "me")
	d.expectControlOutput(0, "unchanged", "apply", pools)
	d.expectControlOutput(0, "accepted", "apply", pools, "--change-id", "first", "--base", "0", "--commit", "abc", "--author", "me")
	d.expectControlOutput(0, "first\tme\tabc", "history")
	d.write("pools/pools.yaml", poolsYAML+"    live_priority: 9\n")
	d.expectControlOutput(0, "~ pool chat: live_priority: 7 -> 9", "diff", pools)
	d.expectControlOutput(1, `change first by "me" from commit "abc"`, "apply", pools, "--base", "0")
	d.expectControlOutput(1, "used before with other content", "apply", pools, "--change-id", "first")
	d.expectControlOutput(0, "accepted", "apply", pools)
	written := d.expectControlOutput(0, "live_priority: 9", "get")
	d.write("pools/pools.yaml", written)
	d.expectControlOutput(0, "unchanged", "apply", pools)
	d.expectControlOutput(0, "version 3 is the newest", "weights", "publish", "m", "3")
	d.expectControlOutput(0, "version 3 is the newest", "weights", "publish", "m", "3")
	d.expectControlOutput(1, "version 3 of model m is published already", "weights", "publish", "m", "2")
	d.expectControlOutput(0, `"newest_version"`, "status", "--json")
	d.expectControlOutput(0, "", "drain", "engine", "e1")
	d.expectControlOutput(0, "leaving=true", "status")
	d.expectControlOutput(0, "", "drain", "engine", "e1", "--undo")
	d.expectControlOutput(1, `unknown engine "e9"`, "drain", "engine", "e9")
	d.expectControlOutput(0, "", "drain", "node", "n1")
	d.awaitControlOutput("draining=true", "status")
	d.expectControlOutput(0, "", "drain", "node", "n1", "--undo")
	d.expectControlOutput(1, `unknown node "n9"`, "drain", "node", "n9")
	d.expectControlOutput(0, "", "members", "add", "2", "--address", "127.0.0.1:1")
	d.expectControlOutput(0, "voter=false", "status")
	d.expectControlOutput(0, "", "members", "remove", "2")
	d.expectControlOutput(1, "", "members", "promote", "7")
}

func TestInvalidUsage(t *testing.T) {
	d := &deployment{t: t, folder: t.TempDir()}
	d.write("pools.yaml", poolsYAML+"    live_priorty: 9\n")
	d.expectOutput(2, "live_priorty", "validate", d.folder)
	d.expectOutput(2, "holds no .yaml file", "validate", t.TempDir())
	d.expectOutput(2, "unexpected argument", "frobnicate")
	d.expectOutput(2, "must be one of", "members", "explode", "1", "--controls", "127.0.0.1:1")
	d.expectOutput(2, "--controls", "status")
	d.expectOutput(2, "address: must be an IP address", "control", "run", "--cluster", "c", "--address", "nowhere", "--data-folder", d.folder)
	d.expectOutput(1, "holds no replica", "control", "run", "--cluster", "c", "--address", "127.0.0.1:0", "--data-folder", d.folder)
	d.expectOutput(2, "controls: must not be empty", "node", "run", "--id", "n")
	d.expectOutput(1, "", "status", "--controls", "127.0.0.1:1", "--timeout", "100ms")
	d.expectOutput(0, "Usage: dillchute", "--help")
	d.expectOutput(0, "", "--version")
}

// TestWholePath checks that live requests and a trainer's steps are served, also
// after the control replica has been restarted with its data folder.
func TestWholePath(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, fastStepMillis)
	d.awaitControlOutput("owner=n1", "status")
	d.expectControlOutput(0, "in force", "apply", filepath.Join(d.folder, "pools"), "--wait")
	d.expectControlOutput(0, "version 1", "weights", "publish", "m", "1")
	body := `{"model":"chat","prompt":"hello","max_tokens":64}`
	require.Eventually(t, func() bool {
		status, _, _ := d.complete(body, nil)
		return status == http.StatusOK
	}, waitTimeout, pollInterval)
	text := server.TokenText(model.Answer("hello", 64))
	_, _, answer := d.complete(body, nil)
	require.Contains(t, answer, text)
	require.Contains(t, answer, `"version":1`)
	status, header, stream := d.complete(strings.Replace(body, "{", `{"stream":true,`, 1), nil)
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, "text/event-stream", header.Get("Content-Type"))
	require.True(t, strings.HasSuffix(stream, "data: [DONE]\n\n"))
	notRepeatable := map[string]string{server.HeaderRequestID: "k", server.HeaderNotRepeatable: "true",
		server.HeaderIssuedAt: "1", server.HeaderWindow: "1"}
	status, _, answer = d.complete(body, notRepeatable)
	require.NotEqual(t, http.StatusOK, status)
	require.Contains(t, answer, "window_expired")
	d.fetchStep(1)
	d.stopControl()
	listener, err := net.Listen("tcp", d.controlAddress)
	require.NoError(t, err)
	d.startControl(listener)
	d.awaitControlOutput("version=1", "status")
	d.fetchStep(2)
}

func (d *deployment) fetchStep(step uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	controls := client.New([]string{d.controlAddress})
	request := &dillchutev1.SubmitStepRequest{Pool: "chat", Step: step}
	for index := range uint32(20) {
		request.Samples = append(request.Samples, &dillchutev1.SamplePrompt{Index: index, Prompt: "p", MaxTokens: 40})
	}
	submitted, err := controls.SubmitStep(ctx, request)
	require.NoError(d.t, err)
	require.True(d.t, submitted.Accepted, submitted.Reason)
	trainer := client.NewTrainer(controls, "chat", step, 20*(step-1))
	seen := map[uint32]bool{}
	for len(seen) < 20 {
		response, err := trainer.Fetch(ctx, 1, 100, time.Second)
		require.NoError(d.t, err)
		for _, sample := range response.Samples {
			require.Equal(d.t, step, sample.Step)
			require.False(d.t, seen[sample.Index])
			seen[sample.Index] = true
		}
	}
	_, err = trainer.Fetch(ctx, 1, 100, 0)
	require.NoError(d.t, err)
}

// TestInvalidRequests checks the status and the error of each kind of invalid request.
func TestInvalidRequests(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, fastStepMillis)
	d.awaitControlOutput("owner=n1", "status")
	d.expectControlOutput(0, "in force", "apply", filepath.Join(d.folder, "pools"), "--wait")
	valid := `{"model":"chat","prompt":"p"}`
	tests := map[string]struct {
		body       string
		headers    map[string]string
		wantStatus int
		wantText   string
	}{
		"malformed":            {"{", nil, http.StatusBadRequest, "body:"},
		"truncated":            {valid[:15], nil, http.StatusBadRequest, "body:"},
		"content type":         {valid, map[string]string{"Content-Type": "text/plain"}, http.StatusBadRequest, "Content-Type"},
		"oversized":            {`{"model":"chat","prompt":"` + strings.Repeat("x", 3<<20) + `"}`, nil, http.StatusBadRequest, "too large"},
		"no pool":              {`{"prompt":"p"}`, nil, http.StatusBadRequest, "model: must name a pool"},
		"unknown pool":         {`{"model":"other"}`, nil, http.StatusNotFound, "unknown_pool"},
		"tokens":               {`{"model":"chat","max_tokens":-1}`, nil, http.StatusBadRequest, "max_tokens"},
		"timeout":              {valid, map[string]string{server.HeaderTimeout: "soon"}, http.StatusBadRequest, server.HeaderTimeout},
		"priority":             {valid, map[string]string{server.HeaderPriority: "10"}, http.StatusBadRequest, server.HeaderPriority},
		"not repeatable":       {valid, map[string]string{server.HeaderNotRepeatable: "true"}, http.StatusBadRequest, server.HeaderRequestID},
		"not repeatable value": {valid, map[string]string{server.HeaderNotRepeatable: "maybe"}, http.StatusBadRequest, server.HeaderNotRepeatable},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			status, _, answer := d.complete(test.body, test.headers)
			require.Equal(t, test.wantStatus, status, answer)
			require.Contains(t, answer, test.wantText)
		})
	}
	response, err := http.Get("http://" + d.callerAddress + "/v1/completions")
	require.NoError(t, err)
	response.Body.Close()
	require.Equal(t, http.StatusMethodNotAllowed, response.StatusCode)
}

// TestCancelledStreamsFreeTheirSlots checks that the engine frees the slots of
// callers that disconnect during a response.
func TestCancelledStreamsFreeTheirSlots(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, slowStepMillis)
	d.awaitControlOutput("owner=n1", "status")
	d.expectControlOutput(0, "in force", "apply", filepath.Join(d.folder, "pools"), "--wait")
	d.expectControlOutput(0, "version 1", "weights", "publish", "m", "1")
	short := `{"model":"chat","prompt":"hello","max_tokens":1}`
	answered := func() bool {
		status, _, _ := d.complete(short, nil)
		return status == http.StatusOK
	}
	require.Eventually(t, answered, waitTimeout, pollInterval)
	for range slots {
		d.cancelStream(`{"model":"chat","prompt":"hello","max_tokens":100000,"stream":true}`)
	}
	require.Eventually(t, answered, waitTimeout, pollInterval)
}

// cancelStream sends a request and disconnects after the first byte of the response.
func (d *deployment) cancelStream(body string) {
	request, err := http.NewRequest(http.MethodPost, "http://"+d.callerAddress+"/v1/completions", strings.NewReader(body))
	require.NoError(d.t, err)
	request.Header.Set("Content-Type", "application/json")
	// The slot must not be freed by the request's deadline instead.
	request.Header.Set(server.HeaderTimeout, "3600000")
	response, err := http.DefaultClient.Do(request)
	require.NoError(d.t, err)
	require.Equal(d.t, http.StatusOK, response.StatusCode)
	_, err = io.ReadFull(response.Body, make([]byte, 1))
	require.NoError(d.t, err)
	require.NoError(d.t, response.Body.Close())
}
