package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["endless-head"] = endlessHead }

// nameBytes are bytes that names of fields may have.
const nameBytes = "abcdefghijklmnopqrstuvwxyz0123456789!#$%&'*+-.^_`|~"

const (
	headMemoryMB = 134
	// Half of the replicas spoil each 20th of their answers for five seconds.
	spoilEvery = 20
	spoilTime  = 5 * time.Second
	headRate   = 600
)

// endlessHead: model replicas spoil a small share of their answers with a head without end. The
// platform's part is to kill a process that exceeds its memory, and to start it again.
func endlessHead(w *world) {
	zones := []string{"z1", "z2", "z3"}
	w.configure(configuration{
		routes: []map[string]any{route("diagnosis", "streaming", "lm", 5000, 500, 1, false), route("match", "streaming", "lm", 3000, 500, 1, false),
			route("chat", "streaming", "lm", 15000, 400, 1, false)},
		services: []map[string]any{{"name": "lm", "max-connections": 620, "health-path": "/healthz", "engine": map[string]any{"slots": 128, "kv-capacity": 460663, "stride": 5}}},
		tenants:  []map[string]any{{"name": "t1", fieldKeys: []string{"k1"}}},
	})
	var text strings.Builder
	text.WriteString("HTTP/1.1 200 OK\r\n")
	for n := 0; text.Len() < 250<<10; n++ {
		fmt.Fprintf(&text, "%c%c%c:\n", nameBytes[n%len(nameBytes)], nameBytes[n/len(nameBytes)%len(nameBytes)], nameBytes[n/len(nameBytes)/len(nameBytes)])
	}
	begin := []byte(text.String())
	var spoiling atomic.Bool
	var spoiled, answersOfSpoilers atomic.Int64
	var spoiledAttempts sync.Map
	for i := range 18 {
		r := w.startReplica(replicaConfig{id: fmt.Sprintf("lm-%d", i), service: "lm", zone: zones[i%3], slots: 128, events: 10, work: 100 * time.Millisecond, gap: 20 * time.Millisecond})
		if i%2 == 1 {
			continue
		}
		r.garble = func(rw http.ResponseWriter, request *http.Request) bool {
			if !spoiling.Load() || answersOfSpoilers.Add(1)%spoilEvery != 0 {
				return false
			}
			spoiled.Add(1)
			spoiledAttempts.Store(request.Header.Get(nameAttempt), true)
			w.note("%s spoils the answer to %s", r.id, request.Header.Get(nameAttempt))
			conn, _, err := rw.(http.Hijacker).Hijack()
			if err != nil {
				return true
			}
			defer func() { _ = conn.Close() }()
			_, err = conn.Write(begin)
			for n := 0; err == nil; n++ {
				time.Sleep(100 * time.Millisecond)
				_, err = fmt.Fprintf(conn, "z%d:\n", n)
			}
			return true
		}
	}
	w.configureRouters(routerConfig{count: 1, zones: zones, memoryMB: headMemoryMB})
	w.startRouters()
	router := w.routers[0]
	time.Sleep(3 * time.Second)
	stop := make(chan struct{})
	client := &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1000, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}
	go func() {
		ticker := time.NewTicker(time.Second / headRate)
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			path, limit := "/diagnosis/x", 5*time.Second
			switch {
			case i%50 >= 41:
				path, limit = "/chat/x", 15*time.Second
			case i%50 >= 24:
				path, limit = "/match/x", 3*time.Second
			}
			go w.send(request{router: router, method: "POST", path: path, key: "k1", deadline: limit, body: []byte("a prompt"), tokens: "300,50", prefix: fmt.Sprintf("5c1e07a2:100,91bd3f06:100,%x:100", 0x10000000+i), client: client})
		}
	}()
	time.Sleep(6 * time.Second)
	w.note("calm: resident %d KiB, at most %d KiB", router.status("VmRSS"), router.status("VmHWM"))
	began := time.Now()
	spoiling.Store(w.trouble)
	highest, killed := 0, time.Time{}
	for time.Since(began) < 14*time.Second {
		time.Sleep(20 * time.Millisecond)
		if time.Since(began) > spoilTime && spoiling.Swap(false) {
			w.note("the replicas spoil no more answers, %d of %d were spoiled", spoiled.Load(), answersOfSpoilers.Load())
		}
		resident := router.status("VmRSS")
		highest = max(highest, resident)
		if resident > headMemoryMB*1024 {
			killed = time.Now()
			w.note("the process has %d KiB, above its memory of %d MiB: killed, %.2f s after the first spoiled answers", resident, headMemoryMB, killed.Sub(began).Seconds())
			router.signal(syscall.SIGKILL)
			<-router.ended
			time.Sleep(500 * time.Millisecond)
			router.start()
			break
		}
	}
	time.Sleep(3 * time.Second)
	close(stop)
	time.Sleep(time.Second)
	w.summary()
	ran := map[string]bool{}
	w.arrivals.mu.Lock()
	for _, a := range w.arrivals.list {
		ran[a.attempt] = ran[a.attempt] || a.ran
	}
	w.arrivals.mu.Unlock()
	lost := 0
	w.answers.mu.Lock()
	for _, a := range w.answers.list {
		_, isSpoiled := spoiledAttempts.Load(a.attempt)
		if !killed.IsZero() && a.kept && ran[a.attempt] && !isSpoiled && a.sentAt.Before(killed) && a.doneAt.After(killed.Add(-10*time.Millisecond)) && a.err != nil {
			lost++
			w.note("%s %s, sent at %.3f: %v", a.attempt, a.path, w.seconds(a.sentAt), a.err)
		}
	}
	w.answers.mu.Unlock()
	w.verdict(lost > 3, "%d spoiled answers, at most %d KiB of %d KiB, %d requests of kept connections, at work at sound replicas, lost their answer with the process", spoiled.Load(), highest, headMemoryMB*1024, lost)
}
