package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// zones are the availability zones of the small deployment.
var zones = []string{"z1", "z2", "z3"}

// errNotRun means that a case couldn't run, so that it shows nothing.
var errNotRun = errors.New("the case could not run")

// process is one program of the project.
type process struct {
	name, role, ip string
	settings       string
	command        *exec.Cmd
	ended          chan struct{}
}

// site is a small deployment: control replicas, entries and stand-ins, on loopback addresses.
type site struct {
	folder   string
	record   *record
	program  string
	network  string
	controls []*process
	entries  []*process
	servers  []*server
	seeds    []string
}

// newSite starts the processes of a deployment.
func newSite(folder, program string, r *record, controls, entries int) (*site, error) {
	s := &site{folder: folder, program: program, record: r, network: fmt.Sprintf("127.%d.%d.", 60+os.Getpid()%150, os.Getpid()/150%250)}
	for i := range controls {
		s.controls = append(s.controls, s.newProcess(fmt.Sprint("control-", i+1), "control", fmt.Sprint(s.network, 10+i)))
	}
	for _, p := range s.controls[:min(3, controls)] {
		s.seeds = append(s.seeds, p.ip)
	}
	for i := range entries {
		s.entries = append(s.entries, s.newProcess(fmt.Sprint("entry-", i+1), "entry", fmt.Sprint(s.network, 50+i)))
	}
	for i, p := range append(append([]*process{}, s.controls...), s.entries...) {
		if err := s.start(p, zones[i%len(zones)], true); err != nil {
			return s, err
		}
	}
	return s, nil
}

func (s *site) newProcess(name, role, ip string) *process {
	return &process{name: name, role: role, ip: ip, settings: filepath.Join(s.folder, name+".toml")}
}

// start writes the settings of a process as the provider does, and starts it as the deploy file says.
func (s *site) start(p *process, zone string, first bool) error {
	var seeds []string
	for _, a := range s.seeds {
		seeds = append(seeds, fmt.Sprintf("%q", a+":8000"))
	}
	memory := 284
	if p.role == "control" {
		memory = 280
	}
	text := fmt.Sprintf(`node = %q
role = %q
ip = %q
zone = %q
region = "r1"
internal_ports = [7700,7715]
seeds = [%s]
bootstrap = %t
heartbeat_ms = 1200
data_dir = %q
config_mode = "highest"
[zones]
z1 = "r1"
z2 = "r1"
z3 = "r1"
[listen]
front = "%s:8005"
ready = "%s:8002"
control = "%s:8000"
[limits]
memory_mb = %d
max_fds = 4100
[fault_tolerance]
machines = 1
zones = 0
regions = 0
[bounds]
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
downgrade_slack_ms = 250
retry_budget_ratio = 0.2
budget_window_s = 10
retry_budget_slack = 52
recovery_s = 12
lease_ms = 3000
fencing_enforced = true
version_ms = 15000
version_all_ms = 21000
`, p.name, p.role, p.ip, zone, strings.Join(seeds, ","), first, filepath.Join(s.folder, p.name+"-data"), p.ip, p.ip, p.ip, memory)
	if err := os.WriteFile(p.settings, []byte(text), 0o644); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(s.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer out.Close()
	c := exec.Command(s.program, p.role)
	c.Env = append(os.Environ(), names["env"]+"="+p.settings)
	c.Stdout, c.Stderr = out, out
	// A process must not outlive this one.
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	p.command, p.ended = c, ended
	go func() {
		_ = c.Wait()
		close(ended)
	}()
	return nil
}

// close ends everything that was started.
func (s *site) close() {
	for _, x := range s.servers {
		x.close()
	}
	for _, p := range append(append([]*process{}, s.controls...), s.entries...) {
		if p.command == nil {
			continue
		}
		_ = p.command.Process.Signal(syscall.SIGCONT)
		_ = p.command.Process.Kill()
		<-p.ended
	}
}

// putConfig sends a config until a control replica answers it with a final status, and returns that.
func (s *site) putConfig(text string) (int, error) {
	deadline := time.Now().Add(20 * time.Second)
	for n := 0; time.Now().Before(deadline); n++ {
		status := post("http://"+s.controls[n%len(s.controls)].ip+":8000"+names["config-put"], text)
		if status == http.StatusOK || status >= 400 && status < 500 {
			return status, nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return 0, fmt.Errorf("%w: no answer to a config", errNotRun)
}

// awaitReady waits until all entries say that they are ready.
func (s *site) awaitReady() error {
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(200 * time.Millisecond) {
		ready := 0
		for _, p := range s.entries {
			r, err := client.Get("http://" + p.ip + ":8002/v1/ready")
			if err != nil {
				continue
			}
			_ = r.Body.Close()
			if r.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == len(s.entries) {
			return nil
		}
	}
	return fmt.Errorf("%w: the entries are not ready", errNotRun)
}

var client = &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func post(url, body string) int {
	r, err := client.Post(url, "application/json", strings.NewReader(body))
	if err != nil {
		return 0
	}
	defer r.Body.Close()
	_, _ = io.Copy(io.Discard, r.Body)
	return r.StatusCode
}

// server is a stand-in of a backend server.
type server struct {
	id, service, zone string
	models            string
	slots             int
	born              int64
	listener          net.Listener
	http              *http.Server
	stop              context.CancelFunc
	mu                sync.Mutex
	sequence          int
	state             string
}

// addServer starts a server that announces itself; handle answers the requests that are meant for it.
func (s *site) addServer(id, service, zone, models string, slots int, handle func(x *server, w http.ResponseWriter, q *http.Request)) (*server, error) {
	l, err := net.Listen("tcp4", s.network+"200:0")
	if err != nil {
		return nil, err
	}
	x := &server{id: id, service: service, zone: zone, models: models, slots: slots, born: time.Now().UnixMilli(), listener: l, state: "ready"}
	x.http = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if want := q.Header.Get(names["expect-instance"]); want != "" && want != x.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		handle(x, w, q)
	})}
	go func() { _ = x.http.Serve(l) }()
	ctx, cancel := context.WithCancel(context.Background())
	x.stop = cancel
	s.servers = append(s.servers, x)
	go s.announce(ctx, x)
	return x, nil
}

// announce sends pings until ctx ends.
func (s *site) announce(ctx context.Context, x *server) {
	for n := 0; ctx.Err() == nil; {
		x.mu.Lock()
		x.sequence++
		body := fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":%q,"cold_remaining_ms":0,"stage":"combined","models":%s,"sequence":%d,"born":%d}`,
			x.service, x.listener.Addr().String(), x.zone, x.slots, x.state, x.models, x.sequence, x.born)
		x.mu.Unlock()
		if post("http://"+s.controls[n%len(s.controls)].ip+":8000"+names["beat"]+x.id, body) != http.StatusOK {
			n++
			time.Sleep(100 * time.Millisecond)
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(1200 * time.Millisecond):
		}
	}
}

func (x *server) close() {
	x.stop()
	_ = x.http.Close()
}
