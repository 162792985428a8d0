package qlengine

import "strconv"

// Segment is a piece of a prompt that several requests may share.
type Segment struct {
	ID     uint64
	Tokens int
}

// Prompt describes the work that a request causes at an engine.
type Prompt struct {
	// Tokens is the length of the whole prompt, including all segments.
	Tokens int
	// MaxOutputTokens is the maximum number of generated tokens.
	MaxOutputTokens int
	// Segments are the prompt's pieces in order. All but the last may be
	// shared with other requests; the last is the request's own.
	Segments []Segment
}

// String returns the IDs of the segments in order, as FormatIDs does. It is empty for a
// nil prompt.
func (p *Prompt) String() string {
	if p == nil {
		return ""
	}
	ids := make([]uint64, len(p.Segments))
	for i, segment := range p.Segments {
		ids[i] = segment.ID
	}
	return FormatIDs(ids)
}

// FormatIDs returns IDs of segments in hexadecimal, with commas between them, as log lines
// and state dumps name them.
func FormatIDs(ids []uint64) string {
	var text []byte
	for i, id := range ids {
		if i > 0 {
			text = append(text, ',')
		}
		text = strconv.AppendUint(text, id, 16)
	}
	return string(text)
}

// UniqueTokens returns the number of prompt tokens that no other request
// shares.
func (p *Prompt) UniqueTokens() int {
	tokens := p.Tokens
	for i := range len(p.Segments) - 1 {
		tokens -= p.Segments[i].Tokens
	}
	return max(tokens, 0)
}

// Affinity returns the ID of the last shared segment; ok is false when there
// is none. Requests with the same ID profit from the same engine's cache.
func (p *Prompt) Affinity() (id uint64, ok bool) {
	if len(p.Segments) < 2 {
		return 0, false
	}
	return p.Segments[len(p.Segments)-2].ID, true
}

// Config configures an Engine.
type Config struct {
	// Slots is the number of requests that the engine runs at a time; 0 when
	// unknown.
	Slots int
	// KVCacheTokens is the capacity of the KV cache in tokens; 0 when
	// unknown.
	KVCacheTokens int
	// TokensPerEvent is the number of tokens generated before the first event
	// is sent.
	TokensPerEvent int
}

// Key identifies a request: the router that sends it and its number at that
// router.
type Key struct {
	Router  string
	Request uint64
}
