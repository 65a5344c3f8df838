package clients

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"hornbeamwood/internal/node/keys"
	"hornbeamwood/internal/settings/digest"
)

// ownBounds are what an entry or a control replica with the own interface may use by its default settings.
var ownBounds = bounds{megabytes: 256, handles: 1000}

// Keys of the test's deployment.
const (
	operatorKey = "operator"
	announceKey = "announce"
	callerKey   = "caller"
)

const ownMaxBody = 4 << 20

// deployment is a control replica, an entry with the own interface and a service.
type deployment struct {
	t                      *testing.T
	folder                 string
	control, entry         *process
	http, metrics, service string
}

func startDeployment(t *testing.T) *deployment {
	t.Helper()
	requireAlone(t)
	network := newNetwork()
	d := &deployment{t: t, folder: t.TempDir(), http: network + ".1:8080", metrics: network + ".2:8081", service: network + ".3:8080"}
	a, err := keys.NewAuthority(d.folder, time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	peers := fmt.Sprintf("[[control]]\nname = \"c\"\naddress = \"%s.2:7100\"\n[[entries]]\nname = \"e\"\naddress = \"%s.1:7100\"\nzone = \"z\"\n", network, network)
	control := d.nodeFile(a, "c", keys.Control, fmt.Sprintf("data-folder = %q\n[listen]\nquic = \"%s.2:7100\"\nmetrics = %q\n", filepath.Join(d.folder, "data"), network, d.metrics), peers)
	entry := d.nodeFile(a, "e", keys.Entry, fmt.Sprintf("[listen]\nquic = \"%s.1:7100\"\nhttp = %q\n", network, d.http), peers)
	standin := filepath.Join(d.folder, "service.toml")
	d.write(standin, fmt.Sprintf("identity = \"s\"\nzone = \"z\"\nlisten = %q\nentries = [\"http://%s\"]\nannounce-key = %q\n[service]\nnames = [\"desk\"]\n", d.service, d.http, announceKey))
	d.control = startProgram(t, "control", nil, []string{d.metrics}, "hornbeamwood", "control", "--settings", control)
	d.entry = startProgram(t, "entry", nil, []string{d.http}, "hornbeamwood", "entry", "--settings", entry)
	startProgram(t, "service", nil, nil, "standin", "service", "--settings", standin)
	d.applyTree()
	d.ordinary().requireAnswer(t, "in calm")
	return d
}

func (d *deployment) nodeFile(a keys.Authority, name string, r keys.Role, own, peers string) string {
	d.t.Helper()
	i, err := a.Issue(keys.Request{Name: name, Role: r, Valid: time.Hour}, d.folder)
	if err != nil {
		d.t.Fatal(err)
	}
	path := filepath.Join(d.folder, name+".toml")
	d.write(path, fmt.Sprintf("name = %q\nrole = %q\nzone = \"z\"\nregion = \"r\"\nbootstrap-operator-key-digest = %q\n", name, r, digest.Of(operatorKey))+own+
		fmt.Sprintf("[keys]\nauthority = %q\ncertificate = %q\nprivate-key = %q\n", filepath.Join(d.folder, keys.AuthorityCertificate), i.CertificateFile, i.KeyFile)+peers)
	return path
}

func (d *deployment) write(path, text string) {
	d.t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		d.t.Fatal(err)
	}
}

func (d *deployment) applyTree() {
	d.t.Helper()
	eventually(d.t, "the tree is accepted", func() bool {
		r, err := d.put(0, baseTree())
		if err != nil {
			return false
		}
		defer r.Body.Close()
		if r.StatusCode/100 == 4 {
			b, _ := io.ReadAll(r.Body)
			d.t.Fatalf("the tree was refused: %d %s", r.StatusCode, b)
		}
		return r.StatusCode/100 == 2
	})
}

// put sends a tree that replaces the one of a revision.
func (d *deployment) put(revision int, tree string) (*http.Response, error) {
	q, err := http.NewRequest(http.MethodPut, "http://"+d.http+"/settings/?wait=in-force", strings.NewReader(tree))
	if err != nil {
		d.t.Fatal(err)
	}
	for name, value := range map[string]string{
		"Authorization": "Bearer " + operatorKey, "Content-Type": "application/toml",
		"If-Match": fmt.Sprintf("%q", fmt.Sprint(revision)), "Idempotency-Key": fmt.Sprint("edit-", revision),
	} {
		q.Header.Set(name, value)
	}
	return operatorClient.Do(q)
}

func baseTree() string {
	return fmt.Sprintf("[fleet]\nannounce-key-digests = [%q]\n[operators.o]\nkey-digests = [%q]\n[models.m]\nweight-version = \"v1\"\n[services.desk]\n[workspaces.w]\nregion = \"r\"\nkey-digests = [%q]\n[workspaces.w.models.m]\n[workspaces.w.services.desk]\n",
		digest.Of(announceKey), digest.Of(operatorKey), digest.Of(callerKey))
}

var operatorClient = &http.Client{Timeout: waitTimeout, Transport: &http.Transport{DisableKeepAlives: true}}

func (d *deployment) ordinary() request {
	return d.sized(100)
}

// sized is a call of the service with a body of n bytes.
func (d *deployment) sized(n int) request {
	return request{
		address: d.http, want: "Hornbeamwood-Verdict: ran", body: bytes.Repeat([]byte("b"), n),
		text: ownCaller.head("1.1", "Connection: close\r\nContent-Length: ") + fmt.Sprint(n) + headEnd,
	}
}

// Where the crowds of the own interface send.
var (
	ownCaller    = target{"POST", "/services/desk/x", "Authorization: Bearer " + callerKey + "\r\n"}
	ownPrompt    = target{"POST", "/v1/completions", "Authorization: Bearer " + callerKey + "\r\n"}
	ownOperator  = target{"PUT", "/settings/", "Authorization: Bearer " + operatorKey + "\r\nContent-Type: application/toml\r\nIf-Match: \"1\"\r\nIdempotency-Key: crowd\r\n"}
	ownAnnouncer = target{"POST", "/fleet/announcements", "Authorization: Bearer " + announceKey + "\r\n"}
	ownEvents    = target{"POST", "/fleet/cache-events", "Authorization: Bearer " + announceKey + "\r\n"}
)

// endure plays a crowd and checks that the processes live within their bounds, and that an ordinary request is answered
// while the crowd stays and after it has left.
func (d *deployment) endure(c crowd, ordinary ...request) {
	d.t.Helper()
	answerBeside(d.t, c, append(ordinary, d.ordinary()))
	d.entry.check(d.t, ownBounds)
	d.control.check(d.t, ownBounds)
}

// Guards against an entry that ends because stopped bodies of calls of services are kept whole.
func TestOwnStoppedCalls(t *testing.T) {
	d := startDeployment(t)
	d.endure(crowd{address: d.http, members: bodyCrowd, send: mixed(ownCaller.announced("1.1", "", ownMaxBody, 1), ownCaller.chunked(ownMaxBody, 65000))})
}

// Guards against an entry that ends because stopped bodies of completions are kept whole.
func TestOwnStoppedCompletions(t *testing.T) {
	d := startDeployment(t)
	d.endure(crowd{address: d.http, members: bodyCrowd, send: mixed(ownPrompt.announced("1.1", "", ownMaxBody, 1), ownPrompt.chunked(ownMaxBody, 65000))})
}

// Guards against an entry that ends because of stopped bodies of operators and of announcements.
func TestOwnStoppedEditsAndAnnouncements(t *testing.T) {
	d := startDeployment(t)
	d.endure(crowd{address: d.http, members: bodyCrowd, send: mixed(ownOperator.announced("1.1", "", ownMaxBody, 1), ownOperator.chunked(ownMaxBody, 65000), ownEvents.chunked(ownMaxBody, 65000), ownAnnouncer.chunked(ownMaxBody, 65000))})
}

// Guards against an entry whose descriptors and memory are taken by connections and heads that stop.
func TestOwnConnections(t *testing.T) {
	d := startDeployment(t)
	d.endure(crowd{address: d.http, members: 4 * connectionCrowd, send: mixed(nothing, ownCaller.longHead(60<<10), ownCaller.announced("1.1", "", 10, 7), target{"POST", "/none", ""}.announced("1.1", "", 100<<10, 100))})
}

// Guards against a control replica whose descriptors and memory are taken at its metrics address.
func TestOwnControlMetrics(t *testing.T) {
	d := startDeployment(t)
	metrics := target{"GET", "/metrics", ""}
	d.endure(crowd{address: d.metrics, members: 4 * connectionCrowd, send: mixed(metrics.longHead(1<<20-1<<10), nothing)}, get(d.metrics, "/metrics", "hornbeamwood"))
}

// Guards against limits that refuse the largest call beside a crowd.
func TestOwnLargestCallBesideACrowd(t *testing.T) {
	d := startDeployment(t)
	d.endure(crowd{address: d.http, members: bodyCrowd, send: ownCaller.announced("1.1", "", ownMaxBody, 1)}, d.sized(ownMaxBody))
}

// Guards against limits that refuse a single call inside them.
func TestOwnRequestsInsideTheLimits(t *testing.T) {
	d := startDeployment(t)
	slow := d.sized(300 << 10)
	slow.piece, slow.pause = 32<<10, 150*time.Millisecond
	longHead := d.sized(0)
	longHead.text = strings.Replace(longHead.text, "Connection: close", "X-Long: "+strings.Repeat("v", 60<<10)+"\r\nConnection: close", 1)
	chunked := request{address: d.http, want: "Hornbeamwood-Verdict: ran", body: inChunks(ownMaxBody), text: ownCaller.head("1.1", "Connection: close\r\nTransfer-Encoding: chunked") + headEnd}
	for name, q := range map[string]request{"large": d.sized(ownMaxBody), "chunked": chunked, "slow": slow, "head": longHead} {
		if err := q.try(); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
	d.entry.check(t, ownBounds)
}

// Guards against a planned stop of the own interface that waits for the rest of bodies which never comes.
func TestOwnStopBesideStoppedBodies(t *testing.T) {
	d := startDeployment(t)
	stopped := ownCaller.announced("1.1", "", 10, 7)
	leave := gather(crowd{address: d.http, members: bodyCrowd, send: stopped})
	defer leave()
	got := answerToStopped(t, d.http, stopped, d.entry)
	if !strings.HasPrefix(got, "HTTP/1.1 503") || !strings.Contains(got, "Retry-After: ") {
		t.Errorf("answered %q", got)
	}
}
