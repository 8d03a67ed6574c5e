package standin

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/dillchute/dillchute/bench/oracle"
	"github.com/dillchute/dillchute/protocol"
	"github.com/dillchute/dillchute/server"
)

// Caller is a process that sends live requests to one pool.
type Caller struct {
	Nodes                []string      `required:"" help:"Addresses at which nodes take callers' requests."`
	Pool                 string        `required:"" help:"Pool to call."`
	Rate                 float64       `default:"5" help:"Mean requests a second."`
	PeakFactor           float64       `default:"3" help:"How many times the mean rate the peak is."`
	PeakEvery            time.Duration `default:"20s" help:"Time between peaks, as before deadlines or kickoffs."`
	Duration             time.Duration `default:"30s" help:"How long to call."`
	MaxTokens            uint32        `default:"64" help:"Largest length of an answer, in tokens."`
	Timeout              time.Duration `default:"20s" help:"The callers' patience."`
	NotRepeatablePercent int           `default:"30" help:"Share of requests that must not repeat."`
	Seed                 uint64        `default:"1" help:"Seed of the requests."`
	Record               string        `required:"" help:"File to append the record to."`

	recorder *Recorder
	client   *http.Client
}

const (
	maxAttempts = 5
	// resendWindow is the time during which a request that must not repeat may be resent.
	resendWindow = 5 * time.Minute
	// minRetryPause is the minimum pause before a retry.
	minRetryPause = 300 * time.Millisecond
)

// Run sends requests until the duration has passed or the context ends, then waits for the pending
// answers.
func (c *Caller) Run(ctx context.Context) error {
	recorder, err := NewRecorder(c.Record)
	if err != nil {
		return err
	}
	c.recorder = recorder
	c.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	random := rand.New(rand.NewPCG(c.Seed, 0))
	var wait sync.WaitGroup
	start := time.Now()
	for count := 0; time.Since(start) < c.Duration; count++ {
		select {
		case <-ctx.Done():
			wait.Wait()
			return nil
		case <-time.After(c.pause(random, time.Since(start))):
		}
		key := fmt.Sprintf("%s-%d-%d", c.Pool, c.Seed, count)
		notRepeatable := random.IntN(100) < c.NotRepeatablePercent
		seed := random.Uint64()
		wait.Add(1)
		go func() {
			defer wait.Done()
			c.request(key, notRepeatable, rand.New(rand.NewPCG(seed, 0)))
		}()
	}
	wait.Wait()
	return nil
}

// pause returns an exponentially distributed pause. The rate rises towards each peak.
func (c *Caller) pause(random *rand.Rand, elapsed time.Duration) time.Duration {
	phase := math.Mod(elapsed.Seconds(), c.PeakEvery.Seconds()) / c.PeakEvery.Seconds()
	// phase^3 has a mean of 1/4, so this base factor keeps the mean rate at c.Rate.
	low := (4 - c.PeakFactor) / 3
	rate := c.Rate * (low + (c.PeakFactor-low)*phase*phase*phase)
	return time.Duration(random.ExpFloat64() / rate * float64(time.Second))
}

// request sends a request and retries it until it is answered or cannot be retried. A request that
// must not repeat keeps its key; any other gets a new key for each attempt.
func (c *Caller) request(key string, notRepeatable bool, random *rand.Rand) {
	issued := time.Now()
	unresolved := false
	for attempt := uint32(1); attempt <= maxAttempts; attempt++ {
		sent := oracle.Sent{
			Key: key, Attempt: attempt, Prompt: "live " + key, MaxTokens: c.MaxTokens, NotRepeatable: notRepeatable,
		}
		if !notRepeatable {
			sent.Key, sent.Attempt = fmt.Sprintf("%s.%d", key, attempt), 1
		}
		c.recorder.Record(oracle.Event{Sent: &sent})
		ended, retry := c.send(sent, issued, unresolved, random)
		c.recorder.Record(oracle.Event{Ended: &ended})
		retryable := ended.Outcome == protocol.OutcomeNotRun || (notRepeatable && ended.Reason != protocol.ReasonEarlierOutcomeUnknown)
		if ended.Outcome == protocol.OutcomeAnswered || !retryable {
			return
		}
		unresolved = unresolved || ended.Outcome == protocol.OutcomeUnknown
		time.Sleep(max(retry, minRetryPause))
	}
}

func (c *Caller) send(sent oracle.Sent, issued time.Time, unresolved bool, random *rand.Rand) (oracle.Ended, time.Duration) {
	ended := oracle.Ended{Key: sent.Key, Attempt: sent.Attempt, Outcome: protocol.OutcomeUnknown, Reason: "connection"}
	stream := random.IntN(2) == 0
	body, err := json.Marshal(completionBody{Model: c.Pool, Prompt: sent.Prompt, MaxTokens: sent.MaxTokens, Stream: stream})
	if err != nil {
		panic("standin: encode request: " + err.Error())
	}
	address := c.Nodes[random.IntN(len(c.Nodes))]
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		panic("standin: create request: " + err.Error())
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(server.HeaderRequestID, sent.Key)
	request.Header.Set(server.HeaderTimeout, strconv.FormatInt(c.Timeout.Milliseconds(), 10))
	if sent.NotRepeatable {
		request.Header.Set(server.HeaderNotRepeatable, "true")
		request.Header.Set(server.HeaderIssuedAt, strconv.FormatInt(issued.UnixMilli(), 10))
		request.Header.Set(server.HeaderWindow, strconv.FormatInt(resendWindow.Milliseconds(), 10))
		request.Header.Set(server.HeaderAttempt, strconv.Itoa(int(sent.Attempt)))
		request.Header.Set(server.HeaderUnresolved, strconv.FormatBool(unresolved))
	}
	response, err := c.client.Do(request)
	if err != nil {
		return ended, 0
	}
	defer response.Body.Close()
	return parseResponse(ended, response, stream)
}

// completionBody is the body of a live request.
type completionBody struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens uint32 `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// responsePart is the part of a response that the caller decodes.
type responsePart struct {
	Choices []struct {
		Text         string `json:"text"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
	Error *struct {
		Outcome                string          `json:"outcome"`
		Reason                 protocol.Reason `json:"reason"`
		RetryAfterMilliseconds int64           `json:"retry_after_milliseconds"`
	} `json:"error"`
}

func parseResponse(ended oracle.Ended, response *http.Response, stream bool) (oracle.Ended, time.Duration) {
	var text strings.Builder
	retry := time.Duration(0)
	parsePart := func(data []byte) {
		var part responsePart
		if json.Unmarshal(data, &part) != nil {
			return
		}
		if part.Error != nil {
			ended.Reason = part.Error.Reason
			retry = time.Duration(part.Error.RetryAfterMilliseconds) * time.Millisecond
			if part.Error.Outcome == protocol.OutcomeNotRun.String() {
				ended.Outcome = protocol.OutcomeNotRun
			}
			return
		}
		for _, choice := range part.Choices {
			text.WriteString(choice.Text)
			if choice.FinishReason != "" {
				ended.Outcome, ended.Reason = protocol.OutcomeAnswered, ""
			}
		}
	}
	if stream && response.StatusCode == http.StatusOK {
		scanner := bufio.NewScanner(response.Body)
		scanner.Buffer(nil, maxBodyBytes)
		for scanner.Scan() {
			if data, ok := strings.CutPrefix(scanner.Text(), "data: "); ok && data != "[DONE]" {
				parsePart([]byte(data))
			}
		}
	} else if data, err := io.ReadAll(response.Body); err == nil {
		parsePart(data)
	}
	ended.Tokens = parseTokens(text.String())
	return ended, retry
}

func parseTokens(text string) []uint32 {
	var tokens []uint32
	for _, word := range strings.Fields(text) {
		if token, err := strconv.ParseUint(word, 16, 32); err == nil {
			tokens = append(tokens, uint32(token))
		}
	}
	return tokens
}
