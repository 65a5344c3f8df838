package hornbeamwood_test

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"hornbeamwood/internal/cli/load"
	"hornbeamwood/internal/settings/digest"
)

var measure = flag.Bool("measure", false, "run the measurements of whole processes, with binaries without the race detector")

var measurePart = flag.String("measure.part", "", "run one part only: entries, workspaces, cell, load")

// measureTime is the duration of each measurement.
const measureTime = 10 * time.Second

// usage is the resource usage of one process since its start.
type usage struct {
	cpu  time.Duration
	sent float64
}

// clockTick is the unit of processor time in /proc.
const clockTick = 10 * time.Millisecond

// usage reads processor time from /proc and bytes sent from the metrics.
func (f *fleet) usage(h *host) usage {
	f.t.Helper()
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", f.processes[h.name].command.Process.Pid))
	if err != nil {
		f.t.Fatal(err)
	}
	_, after, _ := strings.Cut(string(b), ") ")
	fields := strings.Fields(after)
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return usage{cpu: time.Duration(user+system) * clockTick, sent: metric(h, "hornbeamwood_quic_sent_bytes")}
}

// metric reads one metric of a process.
func metric(h *host, name string) float64 {
	a := call{method: http.MethodGet, url: h.url() + "/metrics"}.do()
	for line := range strings.Lines(a.body) {
		if value, ok := strings.CutPrefix(strings.TrimSpace(line), name+" "); ok {
			v, _ := strconv.ParseFloat(value, 64)
			return v
		}
	}
	return 0
}

// resident returns a process's memory in bytes.
func (f *fleet) resident(h *host) float64 {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", f.processes[h.name].command.Process.Pid))
	if err != nil {
		f.t.Fatal(err)
	}
	pages, _ := strconv.ParseFloat(strings.Fields(string(b))[1], 64)
	return pages * float64(os.Getpagesize())
}

// average is the mean resource usage of the processes of one role, per second.
type average struct {
	cpuMillis, sentBytes, residentMB float64
}

// during calls run and returns the mean usage of the hosts' processes meanwhile.
func (f *fleet) during(hosts []*host, run func()) average {
	before := make([]usage, len(hosts))
	for i, h := range hosts {
		before[i] = f.usage(h)
	}
	began := time.Now()
	run()
	seconds := time.Since(began).Seconds()
	var a average
	for i, h := range hosts {
		u := f.usage(h)
		a.cpuMillis += float64((u.cpu - before[i].cpu).Milliseconds()) / seconds
		a.sentBytes += (u.sent - before[i].sent) / seconds
		a.residentMB += f.resident(h) / 1e6
	}
	n := float64(len(hosts))
	return average{a.cpuMillis / n, a.sentBytes / n, a.residentMB / n}
}

// measuredTree returns a settings tree with the workspaces of the certilote load and n more.
func measuredTree(n int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "region = \"andes-centro\"\npiece-tokens = 4000\n[fleet]\nannounce-key-digests = [%q]\n[operators.ana]\nkey-digests = [%q]\n", digest.Of(announceKey), digest.Of(operatorKey))
	models := []string{"draft", "lot-note-check", "status-read"}
	for _, m := range models {
		fmt.Fprintf(&b, "[models.%s]\nweight-version = \"v1\"\n", m)
	}
	b.WriteString("[services.issue-stamps]\nnon-idempotent = true\n")
	names := []string{"bogota", "medellin", "cali", "tunja", "villavicencio", "pasto", "neiva", "ibague", "popayan", "leticia"}
	for i := range n {
		names = append(names, fmt.Sprintf("workspace-%d", i))
	}
	for _, w := range names {
		fmt.Fprintf(&b, "[workspaces.%s]\nkey-digests = [%q]\n", w, digest.Of("certilote-"+w+"-key"))
		for _, m := range models {
			fmt.Fprintf(&b, "[workspaces.%s.models.%s]\n", w, m)
		}
		fmt.Fprintf(&b, "[workspaces.%s.services.issue-stamps]\n", w)
	}
	return b.String()
}

// measuredFleet starts a deployment of three replicas, the given numbers of entries and engines, a store and a service.
func measuredFleet(t *testing.T, entries, engines, workspaces int) *fleet {
	f := newFleet(t, 3, entries)
	for _, h := range f.controls {
		f.replaceIn(h, "[listen]\n", fmt.Sprintf("[listen]\nmetrics = \"%s:%d\"\n", h.ip, httpPort))
	}
	f.startNodes()
	table := "[engine]\nmodels = [\"draft\", \"lot-note-check\", \"status-read\"]\nweight-version = \"v1\"\nprefill-rate = 10000000\ndecode-rate = 5000\nmax-running = 256\ncache-pieces = 60\npiece-bytes = 65536\n"
	for i := range engines {
		f.engines = append(f.engines, f.startStandin(fmt.Sprintf("engine-%d", i+1), "engine", table))
	}
	f.startStandin("store-1", "store", "[store]\nmemory-bytes = 500000000\ndisk-bytes = 8000000\nlink-rate = 1000000000\n")
	f.startStandin("stamp-1", "service", "[service]\nnames = [\"issue-stamps\"]\n")
	f.applyTree(f.entries[0], measuredTree(workspaces))
	for _, e := range f.entries {
		f.serves(e, "certilote-bogota-key", "status-read")
	}
	return f
}

// TestMeasureProcesses prints the resource usage of whole processes: idle, by the number
// of entries and of workspaces, and under load. Without the flag -measure it does
// nothing, because figures of a busy CI machine are meaningless.
func TestMeasureProcesses(t *testing.T) {
	if !*measure {
		return
	}
	for name, part := range measureParts {
		if *measurePart == "" || *measurePart == name {
			part(t)
		}
	}
}

// measureParts are the parts of TestMeasureProcesses.
var measureParts = map[string]func(t *testing.T){
	"entries": func(t *testing.T) {
		for _, n := range []int{2, 6, 12} {
			idle(t, n, 13, 0)
		}
	},
	"workspaces": func(t *testing.T) {
		for _, n := range []int{340, 1390} {
			idle(t, 6, 13, n)
		}
	},
	"cell": func(t *testing.T) { idle(t, 20, 58, 0) },
	"load": func(t *testing.T) {
		f := measuredFleet(t, 6, 13, 0)
		for _, rate := range []float64{20, 60, 180} {
			f.print(fmt.Sprintf("load, 6 entries, %g requests a second", rate), func() { f.load(rate) })
		}
		f.edits()
		f.stopEverything()
	},
}

// idle prints the usage of a fleet without requests.
func idle(t *testing.T, entries, engines, workspaces int) {
	f := measuredFleet(t, entries, engines, workspaces)
	what := fmt.Sprintf("idle, %d entries, %d servers, %d workspaces", entries, engines+2, workspaces+10)
	f.print(what, func() { time.Sleep(measureTime) })
	f.stopEverything()
}

// print prints the usage of entries, control replicas and the leader during run.
func (f *fleet) print(what string, run func()) {
	f.t.Helper()
	all := append(append([]*host(nil), f.entries...), f.controls...)
	leader := f.leader()
	_ = f.during(all, func() { time.Sleep(time.Second) })
	var entries, controls, leaderUsage average
	entries = f.during(f.entries, func() {
		controls = f.during(f.controls, func() {
			leaderUsage = f.during([]*host{leader}, run)
		})
	})
	for _, r := range []struct {
		role string
		a    average
	}{{"entry", entries}, {"control", controls}, {"leader", leaderUsage}} {
		fmt.Printf("%-45s %-8s %7.2f cpu ms/s %9.0f B/s %7.1f MB\n", what, r.role, r.a.cpuMillis, r.a.sentBytes, r.a.residentMB)
	}
}

// load sends requests at the given rate and prints their results.
func (f *fleet) load(rate float64) {
	var out bytes.Buffer
	c := load.Config{Deployment: "certilote", Rate: rate, Length: measureTime, Seed: 1, GapScale: 0.02, JSON: true}
	for _, e := range f.entries {
		c.Entries = append(c.Entries, e.url())
	}
	if err := load.Run(context.Background(), c, &out); err != nil {
		f.t.Fatal(err)
	}
	var r load.Result
	if err := json.Unmarshal(out.Bytes(), &r); err != nil {
		f.t.Fatal(err)
	}
	for _, x := range r.Rows {
		fmt.Printf("  %-16s sent %d, whole %d, p50 %.1f ms, p95 %.1f ms\n", x.Class, x.Sent, x.Whole, x.P50, x.P95)
	}
}

// edits prints how long edits take until they are accepted and until they are in force at all entries.
func (f *fleet) edits() {
	const count = 20
	var accepted, inForce time.Duration
	for i := range count {
		branch := f.entries[i%len(f.entries)].url() + "/settings/workspaces/bogota"
		got := call{method: http.MethodGet, url: branch, key: operatorKey}.do()
		began := time.Now()
		a := call{
			method: http.MethodPatch, url: branch + "?wait=in-force", key: operatorKey, body: fmt.Sprintf("max-in-flight = %d\n", 100+i),
			header: map[string]string{"Content-Type": "application/toml", "If-Match": got.header.Get("ETag"), "Idempotency-Key": fmt.Sprintf("measured-%d", i)},
		}.do()
		if a.status != http.StatusOK {
			f.t.Fatalf("edit: %d %s", a.status, a.body)
		}
		inForce += time.Since(began)
		plain := time.Now()
		call{
			method: http.MethodPatch, url: branch, key: operatorKey, body: fmt.Sprintf("max-in-flight = %d\n", 300+i),
			header: map[string]string{"Content-Type": "application/toml", "If-Match": a.header.Get("ETag"), "Idempotency-Key": fmt.Sprintf("plain-%d", i)},
		}.do()
		accepted += time.Since(plain)
	}
	fmt.Printf("edits: accepted after %s, in force at %d entries after %s, means of %d\n", accepted/count, len(f.entries), inForce/count, count)
}

// stopEverything ends all processes of the fleet at once.
func (f *fleet) stopEverything() {
	for _, p := range f.processes {
		p.kill()
	}
}
