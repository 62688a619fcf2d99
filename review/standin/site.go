package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
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
	n := &node{site: s, name: fmt.Sprintf("sidecar-%d", i), ip: fmt.Sprintf("127.0.8.%d", 10+i), zone: zone, ports: map[string]string{}}
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
	check(command.Start())
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

func (s *site) end() {
	for _, n := range s.nodes {
		_ = n.command.Process.Kill()
		<-n.ended
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.CopyFS(keep, os.DirFS(tempFolder))
	}
	_ = os.RemoveAll(tempFolder)
}

// verdict ends the case: 1 if the rule was broken, 0 if it held.
func (s *site) verdict(broken bool, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
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

func (s *site) attempt() string { return fmt.Sprintf("%016x", 0x5a00000000000000+s.ids.Add(1)) }

// request sends one request on a new connection.
func (s *site) request(n *node, method, path string, timeout time.Duration) answer {
	a := answer{attempt: s.attempt(), sentAt: time.Now()}
	request, err := http.NewRequest(method, "http://"+n.ports["outbound"]+path, nil)
	check(err)
	request.Host = host
	request.Header.Set("X-Attempt-Id", a.attempt)
	request.Header.Set("X-Request-Deadline", fmt.Sprint(timeout.Milliseconds()))
	request.Header.Set("Authorization", "Bearer "+apiKey)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}, Timeout: timeout}
	response, err := client.Do(request)
	if err != nil {
		return a
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return a
	}
	a.status, a.body, a.header = response.StatusCode, string(body), response.Header
	return a
}
