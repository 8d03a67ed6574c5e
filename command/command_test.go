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
	patience = time.Minute
	poll     = 20 * time.Millisecond
	// fastStep and slowStep are engines' times for a token, in milliseconds. At
	// the slow one the longest answer takes many times the patience.
	fastStep  = 1.0
	slowStep  = 100.0
	slots     = 8
	poolsYAML = `pools:
  - name: chat
    model: m
    engine_group: g
    weight_policy: continue
    max_staleness_versions: 1
`
)

// deployment is a control replica, a node and an engine in this process.
type deployment struct {
	t        *testing.T
	folder   string
	control  string
	callers  string
	settings config.Control
	stop     context.CancelFunc
	done     chan struct{}
}

func listen(t *testing.T) (net.Listener, string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return listener, listener.Addr().String()
}

// newDeployment starts a deployment whose engine takes so long for a token.
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
	d.control = address
	d.settings = config.DefaultControl()
	d.settings.Cluster, d.settings.Address, d.settings.PlatformURL = "test", address, platform.URL
	d.settings.DataFolder = filepath.Join(d.folder, "data")
	d.expect(0, "replica 1 of cluster test is set up", "control", "init", "--cluster", "test", "--address", address,
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
	d.run(func(ctx context.Context) error { return engine.Serve(ctx, listener) })
	return address
}

// run runs a part until the test ends, and waits for it then.
func (d *deployment) run(part func(ctx context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		// A part that fails shows in what the test expects of it.
		_ = part(ctx)
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
	d.stop, d.done = cancel, make(chan struct{})
	go func() {
		defer close(d.done)
		_ = replica.Run(ctx, listener)
	}()
}

func (d *deployment) stopControl() {
	d.stop()
	<-d.done
}

func (d *deployment) startNode() {
	internal, address := listen(d.t)
	callers, callerAddress := listen(d.t)
	d.callers = callerAddress
	settings := config.DefaultNode()
	settings.ID, settings.Zone, settings.Region, settings.Address = "n1", "a", "r", address
	settings.CallerAddress, settings.Controls, settings.DrainTimeout = callerAddress, []string{d.control}, 5*time.Second
	logger := zerolog.Nop()
	node := server.NewNode(settings, &logger)
	d.run(func(ctx context.Context) error { return node.Run(ctx, internal, callers) })
}

// verb runs a command line and returns its exit code and all that it printed.
func (d *deployment) verb(arguments ...string) (int, string) {
	var out bytes.Buffer
	code := command.Main(arguments, command.Streams{Out: &out, Err: &out})
	return code, out.String()
}

func (d *deployment) expect(code int, text string, arguments ...string) string {
	d.t.Helper()
	got, out := d.verb(arguments...)
	require.Equal(d.t, code, got, "%v: %s", arguments, out)
	require.Contains(d.t, out, text)
	return out
}

// operate is expect for a verb that talks to control.
func (d *deployment) operate(code int, text string, arguments ...string) string {
	d.t.Helper()
	return d.expect(code, text, append(arguments, "--controls", d.control)...)
}

func (d *deployment) await(text string, arguments ...string) {
	d.t.Helper()
	require.Eventually(d.t, func() bool {
		_, out := d.verb(append(arguments, "--controls", d.control)...)
		return strings.Contains(out, text)
	}, patience, poll)
}

func (d *deployment) complete(body string, headers map[string]string) (int, http.Header, string) {
	request, err := http.NewRequest(http.MethodPost, "http://"+d.callers+"/v1/completions", strings.NewReader(body))
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

// TestVerbs runs each operator verb against a deployment, with its exit codes.
func TestVerbs(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, fastStep)
	pools := filepath.Join(d.folder, "pools")
	d.expect(0, "1 pools are valid", "validate", pools)
	d.expect(1, "has been initialised before", "control", "init", "--cluster", "test", "--address", d.control,
		"--data-folder", d.settings.DataFolder, "--replica", "1", "--members", "1="+d.control)
	d.await("e1", "status")
	d.await("owner=n1", "status")
	d.operate(0, "+ pool chat", "diff", pools)
	d.operate(0, "in force on 1 nodes", "apply", pools, "--wait", "--change-id", "first", "--commit", "abc", "--author", "me")
	d.operate(0, "unchanged", "apply", pools)
	d.operate(0, "accepted", "apply", pools, "--change-id", "first", "--base", "0", "--commit", "abc", "--author", "me")
	d.operate(0, "first\tme\tabc", "history")
	d.write("pools/pools.yaml", poolsYAML+"    live_priority: 9\n")
	d.operate(0, "~ pool chat: live_priority: 7 -> 9", "diff", pools)
	d.operate(1, `change first by "me" from commit "abc"`, "apply", pools, "--base", "0")
	d.operate(1, "used before with other content", "apply", pools, "--change-id", "first")
	d.operate(0, "accepted", "apply", pools)
	written := d.operate(0, "live_priority: 9", "get")
	d.write("pools/pools.yaml", written)
	d.operate(0, "unchanged", "apply", pools)
	d.operate(0, "version 3 is the newest", "weights", "publish", "m", "3")
	d.operate(0, "version 3 is the newest", "weights", "publish", "m", "3")
	d.operate(1, "version 3 of model m is published already", "weights", "publish", "m", "2")
	d.operate(0, `"newest_version"`, "status", "--json")
	d.operate(0, "", "drain", "engine", "e1")
	d.operate(0, "leaving=true", "status")
	d.operate(0, "", "drain", "engine", "e1", "--undo")
	d.operate(1, `there is no engine "e9"`, "drain", "engine", "e9")
	d.operate(0, "", "drain", "node", "n1")
	d.await("draining=true", "status")
	d.operate(0, "", "drain", "node", "n1", "--undo")
	d.operate(1, `there is no node "n9"`, "drain", "node", "n9")
	d.operate(0, "", "members", "add", "2", "--address", "127.0.0.1:1")
	d.operate(0, "voter=false", "status")
	d.operate(0, "", "members", "remove", "2")
	d.operate(1, "", "members", "promote", "7")
}

func TestWrongUsage(t *testing.T) {
	d := &deployment{t: t, folder: t.TempDir()}
	d.write("pools.yaml", poolsYAML+"    live_priorty: 9\n")
	d.expect(2, "live_priorty", "validate", d.folder)
	d.expect(2, "holds no .yaml file", "validate", t.TempDir())
	d.expect(2, "unexpected argument", "frobnicate")
	d.expect(2, "must be one of", "members", "explode", "1", "--controls", "127.0.0.1:1")
	d.expect(2, "--controls", "status")
	d.expect(2, "address: must be an IP address", "control", "run", "--cluster", "c", "--address", "nowhere", "--data-folder", d.folder)
	d.expect(1, "holds no replica", "control", "run", "--cluster", "c", "--address", "127.0.0.1:0", "--data-folder", d.folder)
	d.expect(2, "controls: must not be empty", "node", "run", "--id", "n")
	d.expect(1, "", "status", "--controls", "127.0.0.1:1", "--timeout", "100ms")
	d.expect(0, "Usage: dillchute", "--help")
	d.expect(0, "", "--version")
}

// TestWholePath serves live requests and a trainer, and goes on after control
// has been restarted from its folder.
func TestWholePath(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, fastStep)
	d.await("owner=n1", "status")
	d.operate(0, "in force", "apply", filepath.Join(d.folder, "pools"), "--wait")
	d.operate(0, "version 1", "weights", "publish", "m", "1")
	body := `{"model":"chat","prompt":"hello","max_tokens":64}`
	require.Eventually(t, func() bool {
		status, _, _ := d.complete(body, nil)
		return status == http.StatusOK
	}, patience, poll)
	text := server.TokenText(model.Answer("hello", 64))
	_, _, answer := d.complete(body, nil)
	require.Contains(t, answer, text)
	require.Contains(t, answer, `"version":1`)
	status, header, stream := d.complete(strings.Replace(body, "{", `{"stream":true,`, 1), nil)
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, "text/event-stream", header.Get("Content-Type"))
	require.True(t, strings.HasSuffix(stream, "data: [DONE]\n\n"))
	once := map[string]string{server.HeaderRequestID: "k", server.HeaderNotRepeatable: "true",
		server.HeaderIssuedAt: "1", server.HeaderWindow: "1"}
	status, _, answer = d.complete(body, once)
	require.NotEqual(t, http.StatusOK, status)
	require.Contains(t, answer, "window_expired")
	d.fetchStep(1)
	d.stopControl()
	listener, err := net.Listen("tcp", d.control)
	require.NoError(t, err)
	d.startControl(listener)
	d.await("version=1", "status")
	d.fetchStep(2)
}

func (d *deployment) fetchStep(step uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	controls := client.New([]string{d.control})
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

// TestBadRequests: each gets a typed error at once.
func TestBadRequests(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, fastStep)
	d.await("owner=n1", "status")
	d.operate(0, "in force", "apply", filepath.Join(d.folder, "pools"), "--wait")
	good := `{"model":"chat","prompt":"p"}`
	tests := map[string]struct {
		body    string
		headers map[string]string
		status  int
		part    string
	}{
		"malformed":      {"{", nil, http.StatusBadRequest, "body:"},
		"truncated":      {good[:15], nil, http.StatusBadRequest, "body:"},
		"content type":   {good, map[string]string{"Content-Type": "text/plain"}, http.StatusBadRequest, "Content-Type"},
		"oversized":      {`{"model":"chat","prompt":"` + strings.Repeat("x", 3<<20) + `"}`, nil, http.StatusBadRequest, "too large"},
		"no pool":        {`{"prompt":"p"}`, nil, http.StatusBadRequest, "model: must name a pool"},
		"unknown pool":   {`{"model":"other"}`, nil, http.StatusNotFound, "unknown_pool"},
		"tokens":         {`{"model":"chat","max_tokens":-1}`, nil, http.StatusBadRequest, "max_tokens"},
		"timeout":        {good, map[string]string{server.HeaderTimeout: "soon"}, http.StatusBadRequest, server.HeaderTimeout},
		"priority":       {good, map[string]string{server.HeaderPriority: "10"}, http.StatusBadRequest, server.HeaderPriority},
		"not repeatable": {good, map[string]string{server.HeaderNotRepeatable: "true"}, http.StatusBadRequest, server.HeaderRequestID},
		"mark":           {good, map[string]string{server.HeaderNotRepeatable: "maybe"}, http.StatusBadRequest, server.HeaderNotRepeatable},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			status, _, answer := d.complete(test.body, test.headers)
			require.Equal(t, test.status, status, answer)
			require.Contains(t, answer, test.part)
		})
	}
	response, err := http.Get("http://" + d.callers + "/v1/completions")
	require.NoError(t, err)
	response.Body.Close()
	require.Equal(t, http.StatusMethodNotAllowed, response.StatusCode)
}

// TestCutStreamsFreeTheirSlots: callers that go away in the middle of an answer
// leave no stream behind on the engine.
func TestCutStreamsFreeTheirSlots(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, slowStep)
	d.await("owner=n1", "status")
	d.operate(0, "in force", "apply", filepath.Join(d.folder, "pools"), "--wait")
	d.operate(0, "version 1", "weights", "publish", "m", "1")
	short := `{"model":"chat","prompt":"hello","max_tokens":1}`
	answered := func() bool {
		status, _, _ := d.complete(short, nil)
		return status == http.StatusOK
	}
	require.Eventually(t, answered, patience, poll)
	for range slots {
		d.cutStream(`{"model":"chat","prompt":"hello","max_tokens":100000,"stream":true}`)
	}
	require.Eventually(t, answered, patience, poll)
}

// cutStream goes away after the first byte of an answer.
func (d *deployment) cutStream(body string) {
	request, err := http.NewRequest(http.MethodPost, "http://"+d.callers+"/v1/completions", strings.NewReader(body))
	require.NoError(d.t, err)
	request.Header.Set("Content-Type", "application/json")
	// Its deadline must not free the slot in the caller's stead.
	request.Header.Set(server.HeaderTimeout, "3600000")
	response, err := http.DefaultClient.Do(request)
	require.NoError(d.t, err)
	require.Equal(d.t, http.StatusOK, response.StatusCode)
	_, err = io.ReadFull(response.Body, make([]byte, 1))
	require.NoError(d.t, err)
	require.NoError(d.t, response.Body.Close())
}
