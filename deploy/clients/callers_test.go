package clients

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"
)

// Sizes of the crowds: bodies that together exceed the memory of the smallest machine several times, and more
// connections than an entry with few descriptors accepts.
const (
	bodyCrowd       = 80
	headCrowd       = 250
	connectionCrowd = 400
)

// Guards against a process that ends because bodies that stop just short of their end are kept whole.
func TestStoppedBodies(t *testing.T) {
	s := startSite(t)
	s.endure(crowd{address: s.callers, members: bodyCrowd, send: caller.announced("1.1", "", maxBody, 1)})
}

// Guards against a process that ends because the buffers of bodies without a length grow by copying.
func TestStoppedBodiesInLargeChunks(t *testing.T) {
	s := startSite(t)
	s.endure(crowd{address: s.callers, members: bodyCrowd, send: caller.chunked(maxBody, 65000)})
}

// Guards against a process that ends because of bodies in very small chunks.
func TestStoppedBodiesInSmallChunks(t *testing.T) {
	s := startSite(t)
	s.endure(crowd{address: s.callers, members: 300, send: caller.chunked(1<<20, 1)})
}

// Guards against a process that ends because of stopped bodies of callers of HTTP/1.0.
func TestStoppedBodiesOfHTTP10(t *testing.T) {
	s := startSite(t)
	s.endure(crowd{address: s.callers, members: bodyCrowd, send: caller.announced("1.0", "", maxBody, 1)})
}

// Guards against a process that ends because callers wait to continue and then send half of their bodies.
func TestStoppedBodiesAfterContinue(t *testing.T) {
	s := startSite(t)
	s.endure(crowd{address: s.callers, members: bodyCrowd, send: caller.announced("1.1", "Expect: 100-continue\r\n", maxBody, maxBody/2)})
}

// Guards against a process that ends because what closed connections have held isn't freed before others hold as much.
func TestStoppedBodiesOfCallersThatReturn(t *testing.T) {
	s := startSite(t)
	halfHeld := func(i int) member {
		return func(w io.Writer) error {
			if err := caller.announced("1.1", "", maxBody, 1)(i)(w); err != nil {
				return err
			}
			time.Sleep(100 * time.Millisecond)
			if c, ok := w.(io.Closer); ok {
				_ = c.Close()
			}
			return io.ErrClosedPipe
		}
	}
	s.endure(crowd{address: s.callers, members: bodyCrowd, again: true, send: halfHeld})
}

// Guards against a process that reads, or keeps, bodies far over the limit.
func TestBodiesFarOverTheLimit(t *testing.T) {
	s := startSite(t)
	announced := caller.announced("1.1", "", 10*maxBody, 0)
	s.endure(crowd{address: s.callers, members: bodyCrowd, send: mixed(announced, caller.chunked(10*maxBody, 65000), caller.chunked(2*maxBody, 1000))})
}

// Guards against heads that are kept up to a fixed limit far over the document's.
func TestLongHeads(t *testing.T) {
	s := startSite(t)
	s.endure(crowd{address: s.callers, members: headCrowd, send: caller.longHead(1<<20 - 1<<10)})
}

// Guards against heads inside the limit whose many tiny fields take a multiple of their size.
func TestHeadsOfTinyFields(t *testing.T) {
	s := startSite(t)
	s.endure(crowd{address: s.callers, members: headCrowd, send: caller.tinyFields(maxHeader - 1<<10)})
}

// Guards against heads inside the limit that name many parts of a prompt, each of which takes a multiple of its size.
func TestHeadsOfManyParts(t *testing.T) {
	s := startSite(t)
	for _, prefix := range []string{"a:1,", "\x80:1,"} {
		parts := caller.with("/a/x", caller.headers+"Model: m\r\nToken-Counts: 1,1\r\nPrompt-Prefix: "+strings.Repeat(prefix, (maxHeader-1<<10)/len(prefix))+"b:1\r\n")
		s.endure(crowd{address: s.callers, members: connectionCrowd, again: true, send: mixed(parts.announced("1.1", "", 10, 7), parts.whole(""))})
	}
}

// Guards against a process that ends because of heads, request lines and empty lines without end.
func TestHeadsWithoutEnd(t *testing.T) {
	s := startSite(t)
	s.endure(crowd{address: s.callers, members: headCrowd, again: true, send: mixed(
		repeated(caller.head("1.1", ""), "X-Field: "+strings.Repeat("v", 500)+"\r\n", 1<<30),
		repeated("GET /a/", "x", 1<<30),
		repeated("", "\r\n", 1<<30),
	)})
}

// Guards against an entry whose connections are all held by callers that stop in their bodies.
func TestStoppedBodiesHoldAllConnections(t *testing.T) {
	s := startSite(t)
	s.endure(crowd{address: s.callers, members: connectionCrowd, again: true, send: caller.with("/once/x", caller.headers).announced("1.1", "", 10, 7)})
}

// Guards against an entry whose connections are all held by callers that stop in their heads and come again.
func TestStoppedHeadsHoldAllConnections(t *testing.T) {
	s := startSite(t)
	s.endure(crowd{address: s.callers, members: connectionCrowd, again: true, send: caller.longHead(20)})
}

// Guards against connections that are held for ever after a refusal, because the rest of a refused body never comes.
func TestRefusedBodiesHoldAllConnections(t *testing.T) {
	s := startSite(t)
	s.endure(crowd{address: s.callers, members: connectionCrowd, again: true, send: mixed(
		caller.with("/a/x", "X-Api-Key: unknown\r\n").announced("1.1", "", 100<<10, 100),
		caller.with("/none", caller.headers).announced("1.1", "", 100<<10, 100),
	)})
}

// Guards against connections that are held by callers that send nothing.
func TestSilentConnections(t *testing.T) {
	s := startSite(t)
	s.endure(crowd{address: s.callers, members: connectionCrowd, again: true, send: func(int) member { return func(io.Writer) error { return nil } }})
}

// Guards against answers that nobody reads: they hold memory and the servers' connections.
func TestUnreadAnswers(t *testing.T) {
	s := startSite(t)
	get := target{"GET", "/a/large", caller.headers}.head("1.1", "") + "\r\n"
	s.endure(crowd{address: s.callers, members: bodyCrowd, readsNothing: true, send: func(int) member {
		return func(w io.Writer) error {
			_, err := io.WriteString(w, strings.Repeat(get, 20))
			return err
		}
	}})
}

// Guards against answers that are read whole from their servers and that their callers don't read.
func TestUnreadShortAnswers(t *testing.T) {
	s := startSite(t)
	get := target{"GET", "/a/medium", caller.headers}.head("1.1", "") + "\r\n"
	s.endure(crowd{address: s.callers, members: headCrowd, readsNothing: true, send: func(int) member {
		return func(w io.Writer) error {
			_, err := io.WriteString(w, strings.Repeat(get, 20))
			return err
		}
	}})
}

// Guards against whole answers that are held for callers of HTTP/1.0 which don't read them.
func TestUnreadAnswersOfHTTP10(t *testing.T) {
	s := startSite(t)
	get := target{"GET", "/a/large", caller.headers}.head("1.0", "") + "\r\n"
	s.endure(crowd{address: s.callers, members: bodyCrowd, readsNothing: true, again: true, send: func(int) member {
		return func(w io.Writer) error {
			_, err := io.WriteString(w, get)
			return err
		}
	}})
}

// Guards against crowds that send in several ways at once.
func TestMixedCrowd(t *testing.T) {
	s := startSite(t)
	s.endure(crowd{address: s.callers, members: connectionCrowd, send: mixed(
		caller.announced("1.1", "", maxBody, 1), caller.chunked(maxBody, 65000), caller.chunked(300<<10, 1), caller.longHead(1<<20-1<<10),
	)})
}

// Guards against a planned stop that waits for the rest of bodies which never comes, and then closes their connections
// without a word.
func TestStopBesideStoppedBodies(t *testing.T) {
	s := startSite(t)
	slow := caller.with("/long/x", "X-Api-Key: k\r\nDeadline-Ms: 30000\r\n").announced("1.1", "", 10, 7)
	leave := gather(crowd{address: s.callers, members: bodyCrowd, send: slow})
	defer leave()
	got := answerToStopped(t, s.callers, slow, s.entry)
	if !strings.HasPrefix(got, "HTTP/1.1 503") || !strings.Contains(got, "Retry-After: ") {
		t.Errorf("answered %q", got)
	}
}

// Guards against limits that refuse a single request inside the document's limits on the smallest machine.
func TestRequestsInsideTheLimits(t *testing.T) {
	s := startSite(t)
	large := s.sized(maxBody)
	chunked := request{address: s.callers, want: fmt.Sprint("served ", maxBody), body: inChunks(maxBody)}
	chunked.text = target{"POST", "/a/x", caller.headers}.head("1.1", "Connection: close\r\nTransfer-Encoding: chunked") + headEnd
	slow := s.sized(300 << 10)
	slow.piece, slow.pause = 32<<10, 150*time.Millisecond
	longHead := s.sized(0)
	longHead.text = strings.Replace(longHead.text, "Connection: close", "X-Long: "+strings.Repeat("v", 15<<10)+"\r\nConnection: close", 1)
	for name, q := range map[string]request{"large": large, "chunked": chunked, "slow": slow, "head": longHead} {
		if err := q.try(); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
	s.entry.check(t, entryBounds)
}

// Guards against limits that refuse a request inside the document's limits beside a crowd.
func TestLargestRequestBesideACrowd(t *testing.T) {
	s := startSite(t)
	s.endure(crowd{address: s.callers, members: bodyCrowd, send: caller.announced("1.1", "", maxBody, 1)}, s.sized(maxBody))
}

// Guards against slow clients inside the limits that are ended in place of a crowd which holds all memory.
func TestSlowRequestBesideACrowd(t *testing.T) {
	s := startSite(t)
	slow := s.sized(300 << 10)
	slow.piece, slow.pause = 32<<10, 150*time.Millisecond
	stopped := caller.announced("1.1", "", maxBody, 1)
	s.endure(crowd{address: s.callers, members: bodyCrowd, again: true, send: mixed(stopped, closing(stopped))}, slow)
}
