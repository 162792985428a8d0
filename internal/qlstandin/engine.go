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
	_defaultTokens      = 16
	// _prefixLength is how much of a prompt the prefix cache keys on.
	_prefixLength = 64
)

// EngineConfig configures an Engine.
type EngineConfig struct {
	ID string
	// Slots is the batch size from which tokens slow down.
	Slots int
	// TokenTime is the time for a token in a batch that is not over-full.
	TokenTime time.Duration
	// PrefillTime is the time for a thousand prompt tokens not in the cache.
	PrefillTime time.Duration
	// CachedPrefixes bounds the prefix cache.
	CachedPrefixes int
	// LoadLag is how late load reports are.
	LoadLag time.Duration
	// IgnoreFencing makes the engine follow old orders.
	IgnoreFencing bool
}

// Engine stands in for a model engine with continuous batching.
type Engine struct {
	config EngineConfig
	board  switchboard
	log    executionLog
	load   loadMeter

	mu       sync.Mutex
	prefixes []string
	loaded   string
	fence    uint64
}

// NewEngine returns an engine that runs nothing.
func NewEngine(config EngineConfig) *Engine {
	engine := &Engine{
		config: config,
	}
	engine.load.lag = config.LoadLag
	return engine
}

// Handler serves the engine's protocol.
func (e *Engine) Handler() http.Handler {
	routes := mux.NewRouter()
	routes.HandleFunc("/v1/completions", e.serveCompletion).Methods(http.MethodPost)
	routes.HandleFunc("/orders", e.serveOrders)
	routes.Handle("/load", &e.load)
	routes.Handle("/log", &e.log)
	routes.Handle("/switches", &e.board)
	return routes
}

type completion struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// Token returns the text of one token of the answer to a prompt. It depends
// on nothing else, so a resumed stream goes on as it began and tests know
// what each caller should get.
func Token(prompt string, i int) string {
	h := fnv.New32a()
	_, _ = fmt.Fprintf(h, "%s/%d", prompt, i)
	return fmt.Sprintf("w%06x ", h.Sum32()&0xffffff)
}

func (e *Engine) serveCompletion(w http.ResponseWriter, request *http.Request) {
	var call completion
	if !decodeBody(w, request, &call) {
		return
	}
	if e.board.take(func(s *Switches) *int { return &s.Refuse }) {
		abort()
	}
	if call.MaxTokens <= 0 {
		call.MaxTokens = _defaultTokens
	}
	id := request.Header.Get(_requestIDHeader)
	line := e.log.add(Execution{
		Request: id,
		Key:     request.Header.Get(_keyHeader),
		Call:    "completion",
	})
	e.load.add(1)
	defer e.load.add(-1)
	if !e.wait(request, e.prefill(call.Prompt)+e.board.delay()) {
		return
	}
	echoed := id
	if e.board.take(func(s *Switches) *int { return &s.Cross }) {
		echoed = "crossed-" + id
	}
	w.Header().Set(_requestIDHeader, echoed)
	if call.Stream {
		e.stream(w, request, call, id, line)
		return
	}
	e.whole(w, request, call, id, line)
}

func (e *Engine) wait(request *http.Request, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-request.Context().Done():
		return false
	}
}

// prefill is the time before the first token; a cached prefix saves it.
func (e *Engine) prefill(prompt string) time.Duration {
	prefix := prompt[:min(len(prompt), _prefixLength)]
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, cached := range e.prefixes {
		if cached == prefix {
			e.prefixes = append(append(e.prefixes[:i:i], e.prefixes[i+1:]...), prefix)
			return 0
		}
	}
	e.prefixes = append(e.prefixes, prefix)
	if len(e.prefixes) > e.config.CachedPrefixes {
		e.prefixes = e.prefixes[1:]
	}
	tokens := float64(len(prompt)) / _charactersPerToken
	return time.Duration(tokens / 1000 * float64(e.config.PrefillTime))
}

// tokenTime grows when the batch exceeds the engine's size.
func (e *Engine) tokenTime() time.Duration {
	over := float64(e.load.now()) / float64(max(e.config.Slots, 1))
	return time.Duration(float64(e.config.TokenTime) * max(1, over))
}

func (m *loadMeter) now() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.running
}

func (e *Engine) whole(w http.ResponseWriter, request *http.Request, call completion, id string, line *Execution) {
	var text strings.Builder
	for i := range call.MaxTokens {
		if !e.wait(request, e.tokenTime()) {
			return
		}
		text.WriteString(Token(call.Prompt, i))
	}
	e.log.end(line)
	e.faults(w)
	writeJSON(w, struct {
		ID    string      `json:"id"`
		Text  string      `json:"text"`
		Usage engineUsage `json:"usage"`
	}{
		ID:    id,
		Text:  text.String(),
		Usage: usageOf(call),
	})
}

type engineUsage struct {
	Prompt     int `json:"prompt_tokens"`
	Completion int `json:"completion_tokens"`
}

func usageOf(call completion) engineUsage {
	return engineUsage{
		Prompt:     len(call.Prompt) / _charactersPerToken,
		Completion: call.MaxTokens,
	}
}

// faults applies the switches that concern an answer that is ready.
func (e *Engine) faults(w http.ResponseWriter) {
	if e.board.take(func(s *Switches) *int { return &s.Lose }) {
		abort()
	}
	if e.board.take(func(s *Switches) *int { return &s.Cut }) {
		w.Header().Set("Content-Length", "100000")
		_, _ = w.Write([]byte(`{"text":"cut`))
		abort()
	}
	if e.board.take(func(s *Switches) *int { return &s.Fail }) {
		w.WriteHeader(http.StatusInternalServerError)
	}
}

// stream sends numbered events, from after the one that the request names.
func (e *Engine) stream(w http.ResponseWriter, request *http.Request, call completion, id string, line *Execution) {
	after, _ := strconv.Atoi(request.Header.Get(_lastEventHeader))
	cutAt := -1
	if e.board.take(func(s *Switches) *int { return &s.Cut }) {
		cutAt = after + (call.MaxTokens-after)/2
	}
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for i := after; i < call.MaxTokens; i++ {
		if i == cutAt {
			abort()
		}
		if !e.wait(request, e.tokenTime()) {
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
	e.log.end(line)
}

// serveOrders reads or takes an order to load a model. An old fencing number
// is refused, unless the engine ignores fencing.
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
		if order.Fence < e.fence && !e.config.IgnoreFencing {
			http.Error(w, "old fencing number", http.StatusConflict)
			return
		}
		e.loaded = order.Load
		e.fence = max(e.fence, order.Fence)
	}
	writeJSON(w, struct {
		Loaded string `json:"loaded"`
		Fence  uint64 `json:"fence"`
	}{
		Loaded: e.loaded,
		Fence:  e.fence,
	})
}
