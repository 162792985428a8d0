package qlstandin

import (
	"fmt"
	"hash/fnv"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"
)

const (
	_charactersPerToken = 4
	_defaultMaxTokens   = 16
	// _prefixBytes is the length of the prompt's beginning that is the key of
	// the prefix cache.
	_prefixBytes = 64
)

// EngineConfig configures an Engine.
type EngineConfig struct {
	ID string
	// Slots is the largest batch, in requests, that runs at full speed; a larger
	// one takes longer for each token.
	Slots int
	// TokenTime is the time to generate one token of each request in a batch of
	// up to Slots requests.
	TokenTime time.Duration
	// PrefillTime is the time to prefill 1,000 prompt tokens that are not cached.
	PrefillTime time.Duration
	// CachedPrefixes is the capacity of the prefix cache, in prefixes.
	CachedPrefixes int
	// LoadLag is the age of the load that the engine reports.
	LoadLag time.Duration
	// IgnoreFencing makes the engine execute orders with an outdated fencing
	// number.
	IgnoreFencing bool
}

// Engine stands in for a model engine with continuous batching and a prefix
// cache. It takes time for prefill and for each token, but generates made-up text.
type Engine struct {
	config   EngineConfig
	switches switchHandler
	log      executionLog
	load     loadMeter

	mu             sync.Mutex
	cachedPrefixes []string
	loadedModel    string
	fencingNumber  uint64
}

// NewEngine returns an engine with no running requests and an empty cache.
func NewEngine(config EngineConfig) *Engine {
	engine := &Engine{
		config: config,
	}
	engine.load.reportDelay = config.LoadLag
	return engine
}

// Handler serves the engine's protocol.
func (e *Engine) Handler() http.Handler {
	routes := mux.NewRouter()
	routes.HandleFunc("/v1/completions", e.serveCompletion).Methods(http.MethodPost)
	routes.HandleFunc("/orders", e.serveOrders)
	routes.Handle("/load", &e.load)
	routes.Handle("/log", &e.log)
	routes.Handle("/switches", &e.switches)
	return routes
}

type completionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// Token returns the text of token i (from 0) of the answer to a prompt. It depends
// on the prompt and i only, so that a stream resumed on another engine continues
// with the same text and tests can compute the answer that each caller must get.
func Token(prompt string, i int) string {
	h := fnv.New32a()
	_, _ = fmt.Fprintf(h, "%s/%d", prompt, i)
	return fmt.Sprintf("w%06x ", h.Sum32()&0xffffff)
}

func (e *Engine) serveCompletion(w http.ResponseWriter, request *http.Request) {
	var call completionRequest
	if !decodeBody(w, request, &call) {
		return
	}
	if e.switches.consume(func(s *Switches) *int { return &s.Refuse }) {
		abort()
	}
	if call.MaxTokens <= 0 {
		call.MaxTokens = _defaultMaxTokens
	}
	id := request.Header.Get(_requestIDHeader)
	execution := e.log.add(Execution{
		Request: id,
		Key:     request.Header.Get(_keyHeader),
		Call:    "completion",
	})
	e.load.add(1)
	defer e.load.add(-1)
	if !e.sleep(request, e.prefillTime(call.Prompt)+e.switches.delay()) {
		return
	}
	echoedID := id
	if e.switches.consume(func(s *Switches) *int { return &s.Cross }) {
		echoedID = "crossed-" + id
	}
	w.Header().Set(_requestIDHeader, echoedID)
	if call.Stream {
		e.streamCompletion(w, request, call, id, execution)
		return
	}
	e.writeCompletion(w, request, call, id, execution)
}

// sleep waits for d, and returns false early if the caller leaves.
func (e *Engine) sleep(request *http.Request, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-request.Context().Done():
		return false
	}
}

// prefillTime returns the time before the first token, which is 0 if the prompt's
// prefix is cached. It adds the prefix to the cache or marks it as used most
// recently, and evicts the least recently used one if the cache is full.
func (e *Engine) prefillTime(prompt string) time.Duration {
	prefix := prompt[:min(len(prompt), _prefixBytes)]
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, cached := range e.cachedPrefixes {
		if cached == prefix {
			e.cachedPrefixes = append(append(e.cachedPrefixes[:i:i], e.cachedPrefixes[i+1:]...), prefix)
			return 0
		}
	}
	e.cachedPrefixes = append(e.cachedPrefixes, prefix)
	if len(e.cachedPrefixes) > e.config.CachedPrefixes {
		e.cachedPrefixes = e.cachedPrefixes[1:]
	}
	tokens := float64(len(prompt)) / _charactersPerToken
	return time.Duration(tokens / 1000 * float64(e.config.PrefillTime))
}

// tokenTime returns the time for the next token. In a batch of more than Slots
// requests, it grows in proportion to the batch.
func (e *Engine) tokenTime() time.Duration {
	ratio := float64(e.load.current()) / float64(max(e.config.Slots, 1))
	return time.Duration(float64(e.config.TokenTime) * max(1, ratio))
}

// current returns the number of requests that run now.
func (m *loadMeter) current() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.running
}

// writeCompletion generates all tokens, then writes the answer as one document.
func (e *Engine) writeCompletion(w http.ResponseWriter, request *http.Request, call completionRequest, id string, execution *Execution) {
	var text strings.Builder
	for i := range call.MaxTokens {
		if !e.sleep(request, e.tokenTime()) {
			return
		}
		text.WriteString(Token(call.Prompt, i))
	}
	e.log.finish(execution)
	e.applyAnswerFaults(w)
	writeJSON(w, struct {
		ID    string     `json:"id"`
		Text  string     `json:"text"`
		Usage tokenUsage `json:"usage"`
	}{
		ID:    id,
		Text:  text.String(),
		Usage: usageOf(call),
	})
}

type tokenUsage struct {
	Prompt     int `json:"prompt_tokens"`
	Completion int `json:"completion_tokens"`
}

func usageOf(call completionRequest) tokenUsage {
	return tokenUsage{
		Prompt:     len(call.Prompt) / _charactersPerToken,
		Completion: call.MaxTokens,
	}
}

// applyAnswerFaults applies the faults of an answer whose request was executed.
func (e *Engine) applyAnswerFaults(w http.ResponseWriter) {
	if e.switches.consume(func(s *Switches) *int { return &s.Lose }) {
		abort()
	}
	if e.switches.consume(func(s *Switches) *int { return &s.Cut }) {
		w.Header().Set("Content-Length", "100000")
		_, _ = w.Write([]byte(`{"text":"cut`))
		abort()
	}
	if e.switches.consume(func(s *Switches) *int { return &s.Fail }) {
		w.WriteHeader(http.StatusInternalServerError)
	}
}

// streamCompletion sends numbered events, from the one after the event that the
// request's Last-Event-ID names. Of Lose, Cut and Fail, only Cut applies to streams:
// it closes the connection halfway through the remaining tokens.
func (e *Engine) streamCompletion(w http.ResponseWriter, request *http.Request, call completionRequest, id string, execution *Execution) {
	lastEvent, _ := strconv.Atoi(request.Header.Get(_lastEventHeader))
	cutAt := -1
	if e.switches.consume(func(s *Switches) *int { return &s.Cut }) {
		cutAt = lastEvent + (call.MaxTokens-lastEvent)/2
	}
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for i := lastEvent; i < call.MaxTokens; i++ {
		if i == cutAt {
			abort()
		}
		if !e.sleep(request, e.tokenTime()) {
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: {\"id\":%q,\"text\":%q}\n\n", i+1, id, Token(call.Prompt, i))
		if control.Flush() != nil {
			return
		}
	}
	usage := usageOf(call)
	_, _ = fmt.Fprintf(w, "id: %d\ndata: {\"id\":%q,\"usage\":{\"prompt_tokens\":%d,\"completion_tokens\":%d}}\n\n",
		call.MaxTokens+1, id, usage.Prompt, usage.Completion)
	_, _ = fmt.Fprintf(w, "id: %d\ndata: [DONE]\n\n", call.MaxTokens+2)
	e.log.finish(execution)
}

// serveOrders returns the loaded model and the highest fencing number seen. POST
// is an order to load a model; it is refused if its fencing number is lower than
// the highest seen, unless the engine ignores fencing.
func (e *Engine) serveOrders(w http.ResponseWriter, request *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if request.Method == http.MethodPost {
		var order struct {
			Load  string `json:"load"`
			Fence uint64 `json:"fence"`
		}
		if !decodeBody(w, request, &order) {
			return
		}
		if order.Fence < e.fencingNumber && !e.config.IgnoreFencing {
			http.Error(w, "old fencing number", http.StatusConflict)
			return
		}
		e.loadedModel = order.Load
		e.fencingNumber = max(e.fencingNumber, order.Fence)
	}
	writeJSON(w, struct {
		Loaded string `json:"loaded"`
		Fence  uint64 `json:"fence"`
	}{
		Loaded: e.loadedModel,
		Fence:  e.fencingNumber,
	})
}
