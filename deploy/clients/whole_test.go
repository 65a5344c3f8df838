package clients

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"hornbeamwood/internal/cache/events"
	"hornbeamwood/internal/entry/backend"
	"hornbeamwood/internal/settings/digest"
)

// whole sends a whole body again and again on a connection, which the server may close.
func (a target) whole(body string) func(int) member {
	return func(int) member {
		return func(w io.Writer) error {
			_, err := io.WriteString(w, a.head("1.1", fmt.Sprint("Content-Length: ", len(body)))+headEnd+body)
			return err
		}
	}
}

// Guards against an entry that ends because of what it makes of many large prompts at once.
func TestOwnLargePrompts(t *testing.T) {
	d := startDeployment(t)
	prompt := `{"model":"m","prompt":"` + strings.Repeat("a", ownMaxBody-1<<10) + `"}`
	d.endure(crowd{address: d.http, members: bodyCrowd, send: ownPrompt.whole(prompt)})
}

// Guards against an entry that ends because of what it makes of many large prompts of tiny values at once, valid or not.
func TestOwnPromptsOfTinyValues(t *testing.T) {
	d := startDeployment(t)
	chat := target{"POST", "/v1/chat/completions", ownPrompt.headers}
	d.endure(crowd{address: d.http, members: bodyCrowd, send: mixed(
		ownPrompt.whole(`{"model":"m","prompt":[`+tinyEntries("1,", ownMaxBody)+"1]}"), ownPrompt.whole("{"+tinyFields(`"%x":1,`, ownMaxBody)+`"model":"m","prompt":"p"}`),
		chat.whole(`{"model":"m","messages":[`+tinyEntries("{},", ownMaxBody)+"{}]}"), chat.whole(`{"model":"m","messages":[{"content":[`+tinyEntries("{},", ownMaxBody)+"{}]}]}"),
	)})
}

// Guards against an entry that ends because of what it makes of many large edits at once, none of which is valid.
func TestOwnLargeEdits(t *testing.T) {
	d := startDeployment(t)
	inJSON := target{"PUT", "/settings/", strings.Replace(ownOperator.headers, "toml", "json", 1)}
	var ways []func(int) member
	for _, size := range []int{ownMaxBody, ownMaxBody / 16} {
		ways = append(ways,
			ownOperator.whole("a=["+tinyEntries("{},", size)+"{}]"), inJSON.whole(`{"a":[`+tinyEntries("{},", size)+"{}]}"),
			ownOperator.whole(tinyFields("%x=1\n", size)), inJSON.whole("{"+tinyFields(`"%x":1,`, size)+`"x":1}`),
		)
	}
	d.endure(crowd{address: d.http, members: bodyCrowd, send: mixed(ways...)})
}

// Guards against limits that refuse a single large edit.
func TestOwnLargeEditInsideTheLimits(t *testing.T) {
	d := startDeployment(t)
	var workspaces strings.Builder
	for i := range largeTreeWorkspaces {
		fmt.Fprintf(&workspaces, "[workspaces.w%d]\nregion = \"r\"\nkey-digests = [%q]\n", i, digest.Of(fmt.Sprint(i)))
	}
	r, err := d.put(1, baseTree()+workspaces.String())
	if err != nil {
		t.Fatal(err)
	}
	defer r.Body.Close()
	if r.StatusCode != http.StatusOK {
		b, _ := io.ReadAll(r.Body)
		t.Errorf("answered %d %s", r.StatusCode, b)
	}
	d.entry.check(t, ownBounds)
	d.control.check(t, ownBounds)
	d.ordinary().requireAnswer(t, "after the edit")
}

// largeTreeWorkspaces make a tree of about 3.5 MB.
const largeTreeWorkspaces = 29000

// Guards against an entry that ends because of what it makes of many large reports of servers at once, none of which is valid.
func TestOwnLargeReports(t *testing.T) {
	d := startDeployment(t)
	d.endure(crowd{address: d.http, members: bodyCrowd, send: mixed(
		ownEvents.whole(`{"events":[`+tinyEntries("{},", events.MaxBody)+"{}]}"), ownEvents.whole("{"+tinyFields(`"%x":1,`, events.MaxBody)+`"x":1}`),
		ownEvents.whole("["+tinyEntries("[],", events.MaxBody)+"[]]"), ownAnnouncer.whole("{"+tinyFields(`"%x":1,`, backend.MaxAnnouncement)+`"x":1}`),
	)})
}

// tinyEntries returns entries of a list, a little less than size.
func tinyEntries(entry string, size int) string {
	return strings.Repeat(entry, (size-1<<10)/len(entry))
}

// tinyFields returns fields with different names, a little less than size.
func tinyFields(format string, size int) string {
	var b strings.Builder
	for i := 0; b.Len() < size-1<<10; i++ {
		fmt.Fprintf(&b, format, i)
	}
	return b.String()
}

// Guards against a control replica that ends because of what it makes of many large documents at once, valid or not.
func TestControlLargeDocuments(t *testing.T) {
	s := startSite(t)
	put := target{"POST", "/v1/Config.Put", ""}
	list := func(entry string) string {
		return `{"version":0,"routes":[` + strings.Repeat(entry+",", (4<<20)/(len(entry)+1)) + entry + `],"services":[]}`
	}
	route := `{"name":"r","host":"h","path_prefix":"/%d/","kind":"idempotent","timeout_ms":2000,"service":"desk"}`
	s.endure(crowd{address: s.operators, members: bodyCrowd / 2, send: mixed(put.whole(list(route)), put.whole(list("{}")), put.whole(strings.Repeat("[", 4<<20)))}, s.readDocument())
}

// Guards against an entry that ends because many callers send whole bodies as large as the document allows.
func TestLargeBodies(t *testing.T) {
	s := startSite(t)
	s.endure(crowd{address: s.callers, members: bodyCrowd, send: caller.whole(strings.Repeat("b", maxBody))}, s.sized(maxBody))
}

// Guards against a control replica that ends because of large documents that nobody reads.
func TestControlUnreadDocuments(t *testing.T) {
	s := startSite(t)
	s.putLargeDocument()
	read := target{"GET", "/v1/Config.Get", ""}.head("1.1", "") + "\r\n"
	s.endure(crowd{address: s.operators, members: 2 * bodyCrowd, readsNothing: true, send: func(int) member {
		return func(w io.Writer) error {
			_, err := io.WriteString(w, strings.Repeat(read, 5))
			return err
		}
	}}, get(s.operators, "/v1/Config.Get", `"version":2`))
}

// putLargeDocument sends a document with largeDocumentRoutes more routes until it is acknowledged.
func (s *site) putLargeDocument() {
	s.t.Helper()
	routes := make([]string, largeDocumentRoutes)
	for i := range routes {
		routes[i] = fmt.Sprintf(`{"name":"r%d","host":"other","path_prefix":"/%d/","kind":"idempotent","timeout_ms":2000,"service":"desk"}`, i, i)
	}
	large := strings.Replace(strings.Replace(document, `"version":1`, `"version":2`, 1), `"routes":[`, `"routes":[`+strings.Join(routes, ",")+",", 1)
	eventually(s.t, "the large document is acknowledged", func() bool { return post("http://"+s.operators+"/v1/Config.Put", large) == http.StatusOK })
}

// Guards against limits that refuse a large document, or a call of a server in small pieces, in calm.
func TestControlRequestsInsideTheLimits(t *testing.T) {
	s := startSite(t)
	s.putLargeDocument()
	beat := `{"service":"desk","address":"127.0.0.1:1","zone":"z","version":"v1","slots":1,"state":"draining","sequence":1,"born":1700000000000}`
	slow := request{
		address: s.operators, body: []byte(beat), piece: 40, pause: 300 * time.Millisecond,
		text: heartbeat.head("1.1", "Connection: close\r\nContent-Length: ") + fmt.Sprint(len(beat)) + headEnd,
	}
	for _, q := range []request{slow, get(s.operators, "/v1/Config.Get", `"version":2`)} {
		if err := q.try(); err != nil {
			t.Error(err)
		}
	}
	s.entry.check(t, entryBounds)
	s.control.check(t, controlBounds)
}

// largeDocumentRoutes make a document of about 2 MB.
const largeDocumentRoutes = 20000
