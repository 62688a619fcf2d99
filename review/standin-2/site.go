package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// machine is a VM: a node of the project as a process of its own, and a target.
type machine struct {
	site                              *site
	name, zone, service, ip           string
	outbound, inbound, ready, control string
	app                               string
	portFirst, portLast               int
	settings                          string
	storeAddress                      string
	target                            *target
	born                              int64
	mu                                sync.Mutex
	sequence                          int
	reportsEnded                      bool
	process                           *exec.Cmd
	done                              chan struct{}
}

// site is a small installation on loopback.
type site struct {
	dir, root, program string
	// network is the part of the machines' loopback addresses that they share. The machines
	// have addresses of their own, and the ports of the users' pages.
	network  string
	store    *store
	machines []*machine
	runs     *runs
	record   *os.File
	recordMu sync.Mutex
	began    time.Time
	starts   chan processStart
	// interrupted is set once the program is told to stop.
	interrupted atomic.Bool
}

// processStart is a process to start.
type processStart struct {
	command *exec.Cmd
	result  chan error
}

// startProcesses starts processes from one thread that lives as long as this program, so
// that they end with it, however it ends.
func (s *site) startProcesses() {
	runtime.LockOSThread()
	for start := range s.starts {
		start.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		start.result <- start.command.Start()
	}
}

func newSite(root, folder string) (*site, error) {
	root, err := filepath.Abs(root)
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(filepath.Join(root, "target", "hosted")); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	kv, err := startStore()
	if err != nil {
		return nil, err
	}
	s := &site{dir: dir, root: root, program: filepath.Join(root, "target", "hosted"), store: kv, network: freeNetwork(), runs: &runs{}, record: record, began: time.Now(), starts: make(chan processStart)}
	go s.startProcesses()
	return s, nil
}

// freeNetwork returns a network of loopback addresses on which nothing listens at the
// machines' ports.
func freeNetwork() string {
	for {
		network := fmt.Sprintf("127.%d.%d", 64+rand.IntN(128), rand.IntN(256))
		listener, err := net.Listen("tcp", network+".1:8548")
		if err == nil {
			_ = listener.Close()
			return network
		}
	}
}

// log writes a line to the record, with the time since the start.
func (s *site) log(format string, values ...any) {
	s.recordMu.Lock()
	defer s.recordMu.Unlock()
	_, _ = fmt.Fprintf(s.record, "%8.3f  %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, values...))
}

// at returns a time as the record has it.
func (s *site) at(t time.Time) string { return fmt.Sprintf("%.3f", t.Sub(s.began).Seconds()) }

// add adds a machine; its processes are not started.
func (s *site) add(zone, service string, slots int, work func(string) time.Duration) (*machine, error) {
	m := &machine{site: s, zone: zone, service: service, ip: fmt.Sprintf("%s.%d", s.network, len(s.machines)+1), storeAddress: s.store.address}
	m.name = fmt.Sprintf("sidecar-%s-%d", zone, len(s.machines)+1)
	m.outbound, m.inbound = m.ip+":8548", m.ip+":8543"
	m.ready, m.control, m.app = m.ip+":8546", m.ip+":8540", m.ip+":8547"
	m.portFirst, m.portLast = 7000, 7015
	m.settings = filepath.Join(s.dir, m.name+".conf")
	m.target = &target{service: service, instance: "i-" + m.name, slots: slots, work: work, runs: s.runs, log: s.log, at: s.at}
	s.machines = append(s.machines, m)
	return m, nil
}

// writeSettings writes the settings file, with the bounds of the hds-mesh site.
func (m *machine) writeSettings(firstStart bool) error {
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
first-start=%t
heartbeat-s=1.5
contracts=base,drain,config,cost,retry,recover,pressure,tenants,quota,platform
bounds.reuse-after-s=2
bounds.stable-s=3
bounds.drain-s=2
bounds.grace-s=6
bounds.loss-slack-s=0.2
bounds.apply-s=2
bounds.fail-closed=true
bounds.revoke-s=5
bounds.retry-budget-ratio=0.2
bounds.budget-window-s=10
bounds.retry-budget-slack=49
bounds.quota-window-s=5
bounds.quota-overage=0.1
bounds.quota-slack=20
app-addr=%s
service=%s
platform.address=%s
platform.form=kv
`, m.name, m.ip, m.zone, m.inbound, m.outbound, m.ready, m.control, m.portFirst, m.portLast, firstStart, m.app, m.service, m.storeAddress)
	return os.WriteFile(m.settings, []byte(text), 0o600)
}

// startNode starts the node's process.
func (m *machine) startNode(firstStart bool) error {
	if err := m.writeSettings(firstStart); err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(m.site.dir, m.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer output.Close()
	command := exec.Command(m.site.program)
	command.Dir = m.site.root
	command.Env = append(os.Environ(), "AUBURNGAP_NODE_FILE="+m.settings)
	command.Stdout, command.Stderr = output, output
	if m.site.interrupted.Load() {
		select {} // stopEarly ends the program
	}
	start := processStart{command: command, result: make(chan error, 1)}
	m.site.starts <- start
	if err := <-start.result; err != nil {
		return err
	}
	done := make(chan struct{})
	go func() { _ = command.Wait(); close(done) }()
	m.mu.Lock()
	m.process, m.done = command, done
	m.mu.Unlock()
	m.site.log("%s: node started, process %d", m.name, command.Process.Pid)
	return nil
}

// signal sends a signal to the node's process.
func (m *machine) signal(signal syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process != nil {
		_ = m.process.Process.Signal(signal)
		m.site.log("%s: signal %v", m.name, signal)
	}
}

// kill kills the node's process and returns once it has ended.
func (m *machine) kill() {
	m.signal(syscall.SIGKILL)
	<-m.done
}

// startTarget starts the target and its reports.
func (m *machine) startTarget() error {
	if err := m.target.start(m.app); err != nil {
		return err
	}
	m.born = time.Now().UnixMilli()
	go func() {
		for {
			m.report()
			time.Sleep(500 * time.Millisecond)
		}
	}()
	return nil
}

// report sends the target's next report, unless it sends no more.
func (m *machine) report() {
	m.mu.Lock()
	body, ended := m.nextReport(), m.reportsEnded
	m.mu.Unlock()
	if !ended {
		m.sendReport(body)
	}
}

// nextReport returns the target's next report; m.mu is held.
func (m *machine) nextReport() string {
	m.sequence++
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":"ready","cold-remaining-s":0,"seq-num":%d,"born":%d}`,
		m.service, m.app, m.zone, m.target.slots, m.sequence, m.born)
}

// stopReports ends the reports, and returns one more that has not arrived yet.
func (m *machine) stopReports() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reportsEnded = true
	return m.nextReport()
}

// sendReport returns the status of the answer to a report, or 0 if there is none.
func (m *machine) sendReport(body string) int { return m.callControl(http.MethodPut, body) }

func (m *machine) callControl(method, body string) int {
	request, err := http.NewRequest(method, "http://"+m.control+"/instances/"+m.target.instance, strings.NewReader(body))
	if err != nil {
		return 0
	}
	request.Header.Set("Content-Type", "application/json")
	client := http.Client{Timeout: time.Second}
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	return response.StatusCode
}

func (m *machine) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + m.ready + "/readiness")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// start starts all machines and waits until the nodes are ready and list each other.
func (s *site) start(config []byte) error {
	s.store.writeOperator("op/config", config)
	for _, m := range s.machines {
		if err := m.startNode(true); err != nil {
			return err
		}
		if err := m.startTarget(); err != nil {
			return err
		}
	}
	end := time.Now().Add(15 * time.Second)
	for {
		ready := 0
		for _, m := range s.machines {
			item, ok := s.store.value("online/" + m.name)
			if ok && m.isReady() && bytes.Contains(item.Value, []byte(m.target.instance)) {
				ready++
			}
		}
		if ready == len(s.machines) {
			break
		}
		if time.Now().After(end) {
			return fmt.Errorf("%d of %d nodes are ready", ready, len(s.machines))
		}
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(settleTime)
	s.log("all %d nodes are ready", len(s.machines))
	return nil
}

// stop ends all processes.
func (s *site) stop() {
	for _, m := range s.machines {
		m.mu.Lock()
		if m.process != nil {
			_ = m.process.Process.Kill()
		}
		m.mu.Unlock()
	}
	for _, m := range s.machines {
		if m.done != nil {
			<-m.done
		}
	}
	_ = os.RemoveAll(s.dir)
	_ = s.record.Close()
}

// settleTime is how long after the start of all nodes the traffic starts, as on the sheets.
const settleTime = 8 * time.Second
