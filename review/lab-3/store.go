package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a document of the store, or the deletion of one.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    int    `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
	at       time.Time
}

// store is a stand-in for the platform's metadata store: linearizable, one revision counter,
// a history that watches read.
type store struct {
	mu       sync.Mutex
	first    uint64 // revision before the history
	revision uint64
	history  []item
	era      int
	away     bool
	conns    map[net.Conn]bool
	changed  chan struct{}
	address  string
}

func newStore() (*store, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{first: 1000, revision: 1000, era: 1, conns: map[net.Conn]bool{}, changed: make(chan struct{}), address: listener.Addr().String()}
	server := &http.Server{Handler: s, ConnState: func(c net.Conn, state http.ConnState) {
		s.mu.Lock()
		defer s.mu.Unlock()
		switch state {
		case http.StateNew:
			s.conns[c] = true
			if s.away {
				_ = c.Close()
			}
		case http.StateClosed, http.StateHijacked:
			delete(s.conns, c)
		}
	}}
	go func() { _ = server.Serve(listener) }()
	return s, nil
}

// put writes a document and returns its revision; ok is false while the store is away.
func (s *store) put(key string, document any) (revision uint64, ok bool) {
	value, err := json.Marshal(document)
	if err != nil {
		panic(err)
	}
	return s.write(item{Key: key, Value: value})
}

func (s *store) remove(key string) (revision uint64, ok bool) {
	return s.write(item{Key: key, Deleted: true})
}

func (s *store) write(next item) (uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return 0, false
	}
	s.revision++
	next.Revision, next.at = s.revision, time.Now()
	s.history = append(s.history, next)
	close(s.changed)
	s.changed = make(chan struct{})
	return s.revision, true
}

// leave makes the store refuse all calls and cuts its connections.
func (s *store) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	for c := range s.conns {
		_ = c.Close()
	}
}

// comeBack makes the store serve again. If copyAt is set, it does so from a copy of that time:
// later writes are lost, revisions go back, and the era rises by one.
func (s *store) comeBack(copyAt time.Time) (before, after uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before = s.revision
	if !copyAt.IsZero() {
		n := sort.Search(len(s.history), func(i int) bool { return s.history[i].at.After(copyAt) })
		s.history = s.history[:n:n]
		s.revision = s.first
		if n > 0 {
			s.revision = s.history[n-1].Revision
		}
		s.era++
	}
	s.away = false
	return before, s.revision
}

func (s *store) current() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// items returns the documents by key. The caller holds the lock.
func (s *store) items() map[string]item {
	items := make(map[string]item)
	for _, next := range s.history {
		if next.Deleted {
			delete(items, next.Key)
			continue
		}
		next.Created = next.Revision
		if old, ok := items[next.Key]; ok {
			next.Created = old.Created
		}
		items[next.Key] = next
	}
	return items
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	away, era := s.away, s.era
	s.mu.Unlock()
	if away {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Store-Era", strconv.Itoa(era))
	w.Header().Set("Content-Type", "application/json")
	query := r.URL.Query()
	switch r.URL.Path {
	case pathRange:
		s.mu.Lock()
		list := []item{}
		for key, stored := range s.items() {
			if strings.HasPrefix(key, query.Get("prefix")) && key > query.Get("after") {
				list = append(list, stored)
			}
		}
		revision := s.revision
		s.mu.Unlock()
		sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
		truncated := len(list) > 500
		if truncated {
			list = list[:500]
		}
		_ = json.NewEncoder(w).Encode(map[string]any{"items": list, "truncated": truncated, "current-rev": revision})
	case pathWatch:
		s.serveWatch(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait-ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for ended := false; ; {
		s.mu.Lock()
		revision, changed, away := s.revision, s.changed, s.away
		events := []item{}
		if after >= s.first && after < revision {
			for _, event := range s.history[sort.Search(len(s.history), func(i int) bool { return s.history[i].Revision > after }):] {
				if strings.HasPrefix(event.Key, query.Get("prefix")) {
					events = append(events, event)
				}
			}
		}
		s.mu.Unlock()
		switch {
		case away:
			panic(http.ErrAbortHandler)
		case after < s.first || after > revision:
			// It has no such revision: the history is not available.
			w.WriteHeader(http.StatusGone)
			return
		case len(events) > 0 || ended:
			_ = json.NewEncoder(w).Encode(map[string]any{"events": events, "current-rev": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}
