package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// world is one small deployment of stand-ins, routers and clients.
type world struct {
	root     string
	temp     string
	record   *os.File
	recordMu sync.Mutex
	started  time.Time
	trouble  bool
	store    *store
	replicas []*replica
	routers  []*router
	arrivals arrivals
	answers  answers
	attempts atomic.Int64
	version  int
}

func newWorld(folder string) *world {
	root, err := os.Getwd()
	if err != nil {
		panic(err)
	}
	w := &world{root: root, started: time.Now(), trouble: os.Getenv("TROUBLE") != "0"}
	if w.record, err = os.Create(filepath.Join(folder, "record.txt")); err != nil {
		panic(err)
	}
	if w.temp, err = os.MkdirTemp("", "lab3"); err != nil {
		w.cannot("%v", err)
	}
	if w.store, err = newStore(); err != nil {
		w.cannot("%v", err)
	}
	w.note("trouble: %v", w.trouble)
	return w
}

// note writes a line to the record.
func (w *world) note(format string, arguments ...any) {
	w.recordMu.Lock()
	defer w.recordMu.Unlock()
	fmt.Fprintf(w.record, "%8.3f "+format+"\n", append([]any{time.Since(w.started).Seconds()}, arguments...)...)
}

// seconds returns a time as the record has it.
func (w *world) seconds(at time.Time) float64 { return at.Sub(w.started).Seconds() }

// cannot ends a case that could not run.
func (w *world) cannot(format string, arguments ...any) {
	w.note("cannot run: "+format, arguments...)
	fmt.Printf("cannot run: "+format+"\n", arguments...)
	w.end(2)
}

// end stops all processes and exits.
func (w *world) end(code int) {
	for _, r := range w.routers {
		r.kill()
	}
	w.note("exit code %d", code)
	_ = w.record.Close()
	if w.temp != "" && os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.temp)
	}
	os.Exit(code)
}

// verdict ends a case.
func (w *world) verdict(broken bool, format string, arguments ...any) {
	text := fmt.Sprintf(format, arguments...)
	if broken {
		w.note("rule broken: %s", text)
		fmt.Println("rule broken:", text)
		w.end(1)
	}
	w.note("rule held: %s", text)
	fmt.Println("rule held:", text)
	w.end(0)
}

// router is one router process.
type router struct {
	world    *world
	name     string
	settings map[string]any
	path     string
	command  *exec.Cmd
	ended    chan struct{}
	exit     error
	caller   string
	ready    string
	admin    string
	log      *os.File
}

type routerConfig struct {
	count    int
	zones    []string
	memoryMB int
	// change may alter the settings of each router.
	change func(i int, settings map[string]any)
}

// freePorts returns ports that are free on all addresses of the routers.
func (w *world) freePorts(count int, ips []string) []int {
	var ports []int
	for port := 21000 + os.Getpid()%20000; len(ports) < count; port++ {
		free := true
		for _, ip := range ips {
			l, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			ports = append(ports, port)
		}
		if port > 60000 {
			w.cannot("no free ports")
		}
	}
	return ports
}

// configureRouters prepares the settings of routers as deploy/router.json.tmpl has them.
func (w *world) configureRouters(c routerConfig) {
	var ips []string
	for i := range c.count {
		ips = append(ips, fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()/250%250, os.Getpid()%250, i+1))
	}
	ports := w.freePorts(5, ips)
	var seeds []string
	for i := range min(c.count, 3) {
		seeds = append(seeds, fmt.Sprintf("%s:%d", ips[i], ports[2]))
	}
	for i := range c.count {
		at := func(n int) string { return fmt.Sprintf("%s:%d", ips[i], ports[n]) }
		r := &router{world: w, name: fmt.Sprintf("edge-%d", i+1), caller: at(0), ready: at(1), admin: at(2)}
		r.settings = map[string]any{"id": r.name, "zone": c.zones[i%len(c.zones)], "caller-address": at(0), "ready-address": at(1), "operations-address": at(2),
			"peer-address": at(3), "offload-address": at(4), "seeds": seeds, "store": w.store.address, "memory-mb": c.memoryMB, "descriptors": 4100,
			"processors": 1, "processor-part": 0.4, "stop-deadline": "8s", "balancer-notice": "2500ms", "retry-ratio": 0.2, "retry-window": "10s",
			"retry-allowance": 54, "placement": "owner", "log-level": "info"}
		if c.change != nil {
			c.change(i, r.settings)
		}
		r.path = filepath.Join(w.temp, r.name+".json")
		text, err := json.Marshal(r.settings)
		if err == nil {
			err = os.WriteFile(r.path, text, 0o600)
		}
		if err != nil {
			w.cannot("%v", err)
		}
		w.routers = append(w.routers, r)
	}
}

// start starts the router with the command of the deploy file.
func (r *router) start() {
	r.command = exec.Command(filepath.Join(r.world.root, "target/quetzallaned"), "edge")
	r.command.Dir = r.world.root
	r.command.Env = []string{nameSettings + "=" + r.path, "PATH=" + os.Getenv("PATH")}
	var err error
	if r.log, err = os.OpenFile(filepath.Join(r.world.temp, r.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		r.world.cannot("%v", err)
	}
	r.command.Stdout, r.command.Stderr = r.log, r.log
	r.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := r.command.Start(); err != nil {
		r.world.cannot("start a router: %v", err)
	}
	r.ended = make(chan struct{})
	go func() {
		r.exit = r.command.Wait()
		close(r.ended)
	}()
	r.world.note("started %s, process %d", r.name, r.command.Process.Pid)
}

func (r *router) hasEnded() bool {
	select {
	case <-r.ended:
		return true
	default:
		return false
	}
}

func (r *router) signal(s syscall.Signal) {
	if r.command != nil && !r.hasEnded() {
		_ = r.command.Process.Signal(s)
	}
}

func (r *router) kill() {
	if r.command == nil || r.hasEnded() {
		return
	}
	_ = r.command.Process.Signal(syscall.SIGCONT)
	_ = r.command.Process.Kill()
	<-r.ended
}

// status returns a field of /proc/PID/status in KiB, or -1.
func (r *router) status(field string) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.command.Process.Pid))
	if err != nil {
		return -1
	}
	for _, line := range strings.Split(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, field+":"); ok {
			number, _ := strconv.Atoi(strings.Fields(rest)[0])
			return number
		}
	}
	return -1
}

func (r *router) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + r.ready + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == 200
}

func (w *world) startRouters() {
	for _, r := range w.routers {
		r.start()
	}
	for _, r := range w.routers {
		r.awaitReady(20 * time.Second)
	}
}

func (r *router) awaitReady(within time.Duration) {
	for end := time.Now().Add(within); !r.isReady(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			r.world.cannot("%s is not ready", r.name)
		}
	}
}

// configuration is written by the operator.
type configuration struct {
	routes   []map[string]any
	services []map[string]any
	tenants  []map[string]any
	limits   map[string]any
}

func defaultLimits() map[string]any {
	return map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 5000, "idle-timeout-ms": 30000, "tokens-per-s": 2000000}
}

func route(name, kind, service string, timeoutMs, goalMs, attempts int, public bool) map[string]any {
	r := map[string]any{"name": name, "host": "shop.example", "prefix": "/" + name + "/", fieldKind: kind, "service": service,
		"timeout-ms": timeoutMs, "goal-ms": goalMs, "max-attempts": attempts, "priority": 1}
	if public {
		r["public"] = true
	}
	if kind == "streaming" {
		r["gap-goal-ms"], r["sticky"] = 400, true
	}
	return r
}

func (w *world) configure(c configuration) (ackedAt time.Time) {
	w.version += 3
	if c.limits == nil {
		c.limits = defaultLimits()
	}
	w.store.put(keyConfiguration, map[string]any{"version": w.version, "routes": c.routes, "services": c.services, "tenants": c.tenants, "limits": c.limits})
	w.note("configuration %d acknowledged", w.version)
	return time.Now()
}

// request is one client attempt.
type request struct {
	router   *router
	method   string
	path     string
	key      string
	deadline time.Duration
	body     []byte
	tokens   string
	prefix   string
	client   *http.Client
}

// answer is what a client has got.
type answer struct {
	sentAt    time.Time
	doneAt    time.Time
	attempt   string
	router    string
	path      string
	status    int // 0: none
	signature string
	body      string
	err       error
	// kept is set if the connection had carried a request before.
	kept bool
}

type answers struct {
	mu   sync.Mutex
	list []*answer
}

func (w *world) newAttempt() string {
	return fmt.Sprintf("%08x%08x", os.Getpid(), w.attempts.Add(1))
}

// newClient returns a client with a connection pool of its own.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 64, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}
}

// send makes one attempt and waits for its answer.
func (w *world) send(q request) *answer {
	a := &answer{sentAt: time.Now(), attempt: w.newAttempt(), router: q.router.name, path: q.path}
	httpRequest, err := http.NewRequest(q.method, "http://"+q.router.caller+q.path, bytes.NewReader(q.body))
	if err != nil {
		panic(err)
	}
	httpRequest = httpRequest.WithContext(httptrace.WithClientTrace(httpRequest.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { a.kept = info.Reused },
	}))
	httpRequest.Host = "shop.example"
	httpRequest.Header.Set(nameAttempt, a.attempt)
	httpRequest.Header.Set(nameDeadline, strconv.FormatInt(q.deadline.Milliseconds(), 10))
	if q.key != "" {
		httpRequest.Header.Set("Authorization", "Token "+q.key)
	}
	if q.tokens != "" {
		httpRequest.Header.Set("X-Model", "m")
		httpRequest.Header.Set(nameTokens, q.tokens)
		httpRequest.Header.Set(namePrefix, q.prefix)
	}
	client := *q.client
	client.Timeout = q.deadline + time.Second
	response, err := client.Do(httpRequest)
	if err == nil {
		a.status, a.signature = response.StatusCode, response.Header.Get(nameSignature)
		var body []byte
		body, err = io.ReadAll(response.Body)
		a.body = string(body)
		_ = response.Body.Close()
	}
	a.doneAt, a.err = time.Now(), err
	w.answers.mu.Lock()
	w.answers.list = append(w.answers.list, a)
	w.answers.mu.Unlock()
	return a
}

// summary notes how many attempts had which status.
func (w *world) summary() {
	w.answers.mu.Lock()
	defer w.answers.mu.Unlock()
	counts := map[string]int{}
	for _, a := range w.answers.list {
		counts[fmt.Sprintf("%s %d err=%v", a.path, a.status, a.err != nil)]++
	}
	w.note("sent and answered: %v", counts)
	w.arrivals.mu.Lock()
	defer w.arrivals.mu.Unlock()
	ran := map[string]int{}
	for _, a := range w.arrivals.list {
		if a.ran {
			ran[a.replica]++
		}
	}
	w.note("run: %v", ran)
}

// at waits until the time after the world's start.
func (w *world) wait(d time.Duration) { time.Sleep(d) }

// watchMemory kills a router that exceeds its memory, as the platform does, and starts it again half a
// second later. It returns the highest resident size that it has seen, in KiB, and when it killed one.
func (w *world) watchMemory(limitMB int, ends []int, restartAt []time.Time) (highest int, killedAt time.Time) {
	for i, r := range w.routers {
		if r.hasEnded() {
			if time.Now().After(restartAt[i]) {
				r.start()
			}
			continue
		}
		resident := r.status("VmRSS")
		highest = max(highest, resident)
		if resident > limitMB*1024 {
			ends[i]++
			killedAt = time.Now()
			w.note("%s has %d KiB, above its memory of %d MiB: killed, end %d", r.name, resident, limitMB, ends[i])
			r.signal(syscall.SIGKILL)
			<-r.ended
			restartAt[i] = time.Now().Add(500 * time.Millisecond)
		}
	}
	return highest, killedAt
}

// faultBroken reports whether processes of two machines have ended by themselves three times each.
func faultBroken(ends []int) bool {
	machines := 0
	for _, n := range ends {
		if n >= 3 {
			machines++
		}
	}
	return machines >= 2
}
