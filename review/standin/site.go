package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The bounds of the site, those of hds-mesh.
const (
	drainTime  = 2 * time.Second
	stableTime = 3 * time.Second
	apiKey     = "6wsjnbanfqasnmgkcuyj"
	tenant     = "pulo780"
	host       = "hulo84.example"
)

// site is a small deployment: a store, and machines with a target and a node each.
type site struct {
	folder  string
	program string
	store   *store
	nodes   []*node
	version int
	began   time.Time
	record  *os.File
	mu      sync.Mutex
	ids     atomic.Int64
	// life guards over, which is set once no process may be started any more.
	life sync.Mutex
	over bool
	// log holds all requests that clients sent, in their order.
	log []*exchange
	// routes and tenants of the configuration.
	routes []map[string]any
	keys   []string
	rate   float64
	burst  float64
}

// node is a machine: the project's program as a process of its own, and its target.
type node struct {
	site     *site
	name     string
	ip       string
	zone     string
	target   *target
	ports    map[string]string
	settings string
	met      atomic.Int32
	starts   int
	mu       sync.Mutex
	command  *exec.Cmd
	ended    chan struct{}
}

func newSite(folder string) *site {
	program, err := filepath.Abs(filepath.Join(folder, "..", "..", "target", "hosted"))
	check(err)
	if _, err := os.Stat(program); err != nil {
		fmt.Println("no target/hosted: run the build of the deploy file first")
		os.Exit(2)
	}
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	check(err)
	return &site{folder: folder, program: program, store: newStore(), record: record, began: time.Now(), keys: []string{apiKey}, rate: 0, burst: 0}
}

// note writes a line to the record.
func (s *site) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%8.3f s  %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
}

func route(name, prefix, service, kind string, timeout float64, attempts int) map[string]any {
	return map[string]any{
		"name": name, "type": kind, "priority": 1, "auth-exempt": false, "aim-s": 1.5, "match": map[string]any{"prefix": prefix},
		"action": map[string]any{"service": service, "timeout-s": timeout, "max-attempts": attempts},
	}
}

// configure writes the next version of the configuration.
func (s *site) configure() {
	s.version += 3
	services := map[string]bool{}
	for _, r := range s.routes {
		services[r["action"].(map[string]any)["service"].(string)] = true
	}
	clusters := []any{}
	for name := range services {
		clusters = append(clusters, map[string]any{"name": name, "health-path": "/health", "max-conns": 500})
	}
	value, err := json.Marshal(map[string]any{
		"version":   s.version,
		"limits":    map[string]any{"max-header-bytes": 16384, "max-body-bytes": 1048576, "header-timeout-s": 5, "idle-timeout-s": 30},
		"tenants":   []any{map[string]any{"name": tenant, "api-keys": s.keys, "priority": 1, "rate-per-s": s.rate, "burst": s.burst}},
		"listeners": []any{map[string]any{"host": host, "policy": s.routes}},
		"clusters":  clusters,
	})
	check(err)
	s.store.put("op/config", value)
	s.note("configuration %d acknowledged", s.version)
}

// add adds a machine with a target of a service.
func (s *site) add(service, zone string, work time.Duration) *node {
	return s.addWith(service, zone, work, func(*target) {})
}

// addWith is add with a change of the target before its node starts.
func (s *site) addWith(service, zone string, work time.Duration, change func(*target)) *node {
	i := len(s.nodes)
	n := &node{site: s, name: fmt.Sprintf("sidecar-%d", i), ip: machineIP(i), zone: zone, ports: map[string]string{}}
	n.target = newTarget(fmt.Sprintf("i-%08x", 0xa0+i), service, zone, n.ip, work)
	change(n.target)
	n.allocate()
	n.settings = filepath.Join(tempFolder, n.name+".conf")
	s.nodes = append(s.nodes, n)
	n.writeSettings(s.store.serve(func() trouble { return trouble(n.met.Load()) }))
	n.start()
	go n.target.reportUntilSilent(n.ports["control"])
	return n
}

// machineIP returns the loopback address of a machine. It differs from run to run, so that runs
// beside one another don't take each other's ports.
func machineIP(i int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 16+pid/256%200, pid%256, 10+i)
}

// allocate finds free ports, the peers' below that of the metrics.
func (n *node) allocate() {
	var held []net.Listener
	for _, name := range []string{"outbound", "inbound", "ready", "control", "peer", "metrics"} {
		listener, err := net.Listen("tcp", n.ip+":0")
		check(err)
		held = append(held, listener)
		n.ports[name] = listener.Addr().String()
	}
	for _, listener := range held {
		check(listener.Close())
	}
	if portOf(n.ports["peer"]) > portOf(n.ports["metrics"]) {
		n.ports["peer"], n.ports["metrics"] = n.ports["metrics"], n.ports["peer"]
	}
}

func portOf(address string) int {
	resolved, err := net.ResolveTCPAddr("tcp", address)
	check(err)
	return resolved.Port
}

func (n *node) writeSettings(storeAddress string) {
	text := fmt.Sprintf(`node-name=%s
role=node
machine-class=sidecar
serves=sidecar
ip=%s
zone=%s
region=khomas
listen.inbound=%s
listen.outbound=%s
listen.ready=%s
listen.control=%s
port-range=%d,%d
seeds=
first-start=%v
limits.memory-mb=284
heartbeat-s=1.5
bounds.stable-s=3
bounds.drain-s=2
bounds.grace-s=6
bounds.apply-s=2
bounds.fail-closed=true
bounds.revoke-s=5
bounds.retry-budget-ratio=0.2
bounds.budget-window-s=10
bounds.retry-budget-slack=49
bounds.quota-window-s=5
app-addr=%s
service=%s
platform.address=%s
platform.form=kv
platform.writes-per-s=400
platform.reads-per-s=2000
platform.history-s=20
platform.value-bytes=1048576
platform.ttl-min-s=1
`, n.name, n.ip, n.zone, n.ports["inbound"], n.ports["outbound"], n.ports["ready"], n.ports["control"],
		portOf(n.ports["peer"]), portOf(n.ports["metrics"]), n.starts == 0, n.target.address, n.target.service, storeAddress)
	check(os.WriteFile(n.settings, []byte(text), 0o600))
}

// start starts the node's process with the command of the deploy file.
func (n *node) start() {
	n.starts++
	command := exec.Command(n.site.program)
	command.Dir = filepath.Join(n.site.folder, "..", "..")
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "AUBURNGAP_NODE_FILE=" + n.settings}
	logs, err := os.OpenFile(filepath.Join(tempFolder, n.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	check(err)
	command.Stdout, command.Stderr = logs, logs
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	s := n.site
	s.life.Lock()
	defer s.life.Unlock()
	if s.over {
		select {} // the case ends
	}
	check(startOnThread(command))
	ended := make(chan struct{})
	n.mu.Lock()
	n.command, n.ended = command, ended
	n.mu.Unlock()
	go func() {
		err := command.Wait()
		n.site.note("%s: process %d ended: %v", n.name, command.Process.Pid, err)
		close(ended)
	}()
	n.site.note("%s: process %d started beside %s", n.name, command.Process.Pid, n.target.id)
}

func (n *node) signal(s os.Signal) {
	n.site.note("%s: %v", n.name, s)
	_ = n.command.Process.Signal(s)
}

// restart waits for the end of the process and starts it again after a short delay,
// as the platform does.
func (n *node) restart(delay time.Duration) {
	<-n.ended
	time.Sleep(delay)
	data, err := os.ReadFile(n.settings)
	check(err)
	check(os.WriteFile(n.settings, []byte(replaceOnce(string(data), "first-start=true", "first-start=false")), 0o600))
	n.start()
}

func replaceOnce(text, old, replacement string) string {
	for i := 0; i+len(old) <= len(text); i++ {
		if text[i:i+len(old)] == old {
			return text[:i] + replacement + text[i+len(old):]
		}
	}
	return text
}

// isReady asks as the platform does.
func (n *node) isReady() bool {
	response, err := reportClient.Get("http://" + n.ports["ready"] + "/readiness")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// waitReady waits until all nodes serve.
func (s *site) waitReady() {
	deadline := time.Now().Add(20 * time.Second)
	for _, n := range s.nodes {
		for !n.isReady() {
			if time.Now().After(deadline) {
				s.fail("the site did not start")
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	time.Sleep(2 * time.Second)
	s.note("all nodes are ready")
}

// fail ends a case that could not run.
func (s *site) fail(why string) {
	s.note("could not run: %s", why)
	fmt.Println("could not run:", why)
	s.end()
	os.Exit(2)
}

// end ends all processes that the case has started, and removes its folder.
func (s *site) end() {
	s.life.Lock()
	s.over = true
	s.life.Unlock()
	for _, n := range s.nodes {
		n.mu.Lock()
		command, ended := n.command, n.ended
		n.mu.Unlock()
		if command != nil {
			_ = command.Process.Kill()
			<-ended
		}
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.CopyFS(keep, os.DirFS(tempFolder))
	}
	_ = os.RemoveAll(tempFolder)
}

// endOn ends the case when it is interrupted or takes too long.
func (s *site) endOn(limit time.Duration) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		select {
		case got := <-signals:
			s.fail("interrupted: " + got.String())
		case <-time.After(limit):
			s.fail("out of time")
		}
	}()
}

// starts carries the processes to start to a thread that never ends: a node gets SIGKILL
// with the thread that started it, also if this program is killed.
var starts = make(chan startRequest)

type startRequest struct {
	command *exec.Cmd
	result  chan error
}

func init() {
	go func() {
		runtime.LockOSThread()
		for r := range starts {
			r.result <- r.command.Start()
		}
	}()
}

func startOnThread(command *exec.Cmd) error {
	r := startRequest{command, make(chan error, 1)}
	starts <- r
	return <-r.result
}

// verdict ends the case: 1 if the rule was broken, 0 if it held.
func (s *site) verdict(broken bool, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	s.recordRequests()
	s.note("%s", text)
	fmt.Println(text)
	s.end()
	if broken {
		fmt.Println("BROKEN")
		os.Exit(1)
	}
	fmt.Println("held")
	os.Exit(0)
}

// answer is what a client saw.
type answer struct {
	attempt string
	status  int // 0: no answer
	body    string
	header  http.Header
	sentAt  time.Time
}

// exchange is a request as its client saw it.
type exchange struct {
	attempt, line string
	node          *node
	sentAt        time.Time
	// endedAt is when the answer had arrived or the client no longer waited.
	endedAt time.Time
	status  int // 0: no answer
	bytes   int
	// why says why there is no whole answer; empty if there is one.
	why string
}

// sending notes a request that a client begins to send.
func (s *site) sending(attempt, line string, n *node) *exchange {
	e := &exchange{attempt: attempt, line: line, node: n, sentAt: time.Now()}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log = append(s.log, e)
	return e
}

// answered notes what a client got.
func (s *site) answered(e *exchange, status, bytes int, why string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e.endedAt, e.status, e.bytes, e.why = time.Now(), status, bytes, why
}

// exchanges returns all requests that were sent.
func (s *site) exchanges() []*exchange {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.log
}

// runsOf returns the runs of an attempt at all targets, in words, and whether one of them
// made its whole answer.
func (s *site) runsOf(attempt string) (text string, finished bool) {
	for _, n := range s.nodes {
		for _, r := range n.target.ran(s.began) {
			if r.attempt != attempt {
				continue
			}
			text += fmt.Sprintf("; ran at %s at %.3f", n.target.id, r.at.Sub(s.began).Seconds())
			if r.finishedAt.IsZero() {
				text += ", cut"
				continue
			}
			text += fmt.Sprintf(", whole answer at %.3f", r.finishedAt.Sub(s.began).Seconds())
			finished = true
		}
	}
	if text == "" {
		text = "; not run"
	}
	return text, finished
}

// recordRequests writes all requests to the record: sent, run, answered.
func (s *site) recordRequests() {
	log := s.exchanges()
	s.note("the requests, in the order in which they were sent (seconds):")
	for _, e := range log {
		runs, _ := s.runsOf(e.attempt)
		answer := "no answer"
		if e.status != 0 {
			answer = fmt.Sprintf("answered %d, %d bytes", e.status, e.bytes)
		}
		if e.why != "" {
			answer += ", " + e.why
		}
		s.note("%s %s sent to %s at %.3f%s; %s at %.3f", e.attempt, e.line, e.node.name, e.sentAt.Sub(s.began).Seconds(), runs, answer, e.endedAt.Sub(s.began).Seconds())
	}
}

func (s *site) attempt() string { return fmt.Sprintf("%016x", 0x5a00000000000000+s.ids.Add(1)) }

// request sends one request on a new connection.
func (s *site) request(n *node, method, path string, timeout time.Duration) answer {
	a := answer{attempt: s.attempt(), sentAt: time.Now()}
	sent := s.sending(a.attempt, method+" "+path, n)
	request, err := http.NewRequest(method, "http://"+n.ports["outbound"]+path, nil)
	check(err)
	request.Host = host
	request.Header.Set("X-Attempt-Id", a.attempt)
	request.Header.Set("X-Request-Deadline", fmt.Sprint(timeout.Milliseconds()))
	request.Header.Set("Authorization", "Bearer "+apiKey)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}, Timeout: timeout}
	response, err := client.Do(request)
	if err != nil {
		s.answered(sent, 0, 0, err.Error())
		return a
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		s.answered(sent, response.StatusCode, len(body), err.Error())
		return a
	}
	s.answered(sent, response.StatusCode, len(body), "")
	a.status, a.body, a.header = response.StatusCode, string(body), response.Header
	return a
}
