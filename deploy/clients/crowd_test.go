package clients

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// member sends what one client of a crowd sends. An error ends it: the connection was closed or its time is over.
type member func(w io.Writer) error

// crowd is a number of clients that stay connected after they have sent what they send.
type crowd struct {
	address string
	members int
	// again is set for clients that open another connection as soon as theirs is closed.
	again bool
	// readsNothing is set for clients that take nothing of their answers.
	readsNothing bool
	send         func(i int) member
}

// sendTime bounds the time for which a client sends.
const sendTime = 10 * time.Second

// settleTime is how long a process may take to accept and read what a crowd has sent.
const settleTime = time.Second

// gather starts a crowd and returns once each client has sent all that it sends, or can't. The crowd leaves with the
// returned function.
func gather(c crowd) (leave func()) {
	var sent, members sync.WaitGroup
	left := make(chan struct{})
	sent.Add(c.members)
	for i := range c.members {
		members.Go(func() { c.stay(c.send(i), left, sync.OnceFunc(sent.Done)) })
	}
	sent.Wait()
	time.Sleep(settleTime)
	return func() {
		close(left)
		members.Wait()
	}
}

// stay is one client of the crowd; it calls sent after its first connection has sent all.
func (c crowd) stay(m member, left chan struct{}, sent func()) {
	defer sent()
	until := time.Now().Add(sendTime)
	late := time.AfterFunc(sendTime, sent)
	defer late.Stop()
	for {
		c.connect(m, until, left, sent)
		select {
		case <-left:
			return
		default:
		}
		if !c.again {
			sent()
			<-left
			return
		}
		time.Sleep(reconnectPause)
	}
}

const reconnectPause = 10 * time.Millisecond

// connect sends on one connection and stays until it is closed by either side.
func (c crowd) connect(m member, until time.Time, left chan struct{}, sent func()) {
	n, err := net.DialTimeout("tcp", c.address, time.Second)
	if err != nil {
		return
	}
	defer n.Close()
	closed := make(chan struct{})
	defer close(closed)
	go func() {
		select {
		case <-left:
			_ = n.Close()
		case <-closed:
		}
	}()
	if !c.again {
		_ = n.SetWriteDeadline(until)
	}
	if m(n) == nil {
		sent()
	}
	if c.readsNothing {
		<-left
		return
	}
	_, _ = io.Copy(io.Discard, n)
}

// target says where a crowd sends its requests, and with which headers.
type target struct {
	method, path, headers string
}

// head returns a request's head without its end.
func (a target) head(version, fields string) string {
	return a.method + " " + a.path + " HTTP/" + version + "\r\nHost: h\r\n" + a.headers + fields
}

const headEnd = "\r\n\r\n"

// announced sends a body of the announced length but for the bytes that it keeps back.
func (a target) announced(version, fields string, length, keepBack int) func(int) member {
	return func(int) member {
		return func(w io.Writer) error {
			return sendAll(w, a.head(version, fields+fmt.Sprint("Content-Length: ", length))+headEnd, length-keepBack)
		}
	}
}

// sendAll sends a head and so many bytes of a body.
func sendAll(w io.Writer, head string, n int) error {
	if _, err := io.WriteString(w, head); err != nil {
		return err
	}
	_, err := io.CopyN(w, filler{}, int64(n))
	return err
}

// filler reads as spaces, which are valid wherever a crowd sends them.
type filler struct{}

// Read implements io.Reader.
func (filler) Read(b []byte) (int, error) {
	for i := range b {
		b[i] = ' '
	}
	return len(b), nil
}

// chunked sends a body in chunks of that size and keeps back its end.
func (a target) chunked(length, size int) func(int) member {
	return func(int) member {
		return func(w io.Writer) error {
			if _, err := io.WriteString(w, a.head("1.1", "Transfer-Encoding: chunked")+headEnd); err != nil {
				return err
			}
			chunk := fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat(" ", size))
			// Many small chunks go out in one write.
			perWrite := max(1, writeBytes/len(chunk))
			piece := strings.Repeat(chunk, perWrite)
			for left := length / size; left > 0; left -= perWrite {
				if _, err := io.WriteString(w, piece[:min(left, perWrite)*len(chunk)]); err != nil {
					return err
				}
			}
			return nil
		}
	}
}

const writeBytes = 32 << 10

// longHead sends header fields with valid names until the head has so many bytes, and not its end.
func (a target) longHead(length int) func(int) member {
	return func(int) member {
		return func(w io.Writer) error {
			if _, err := io.WriteString(w, a.head("1.1", "")); err != nil {
				return err
			}
			value := strings.Repeat("v", 1000)
			for i, sent := 0, 0; sent < length; i++ {
				field := fmt.Sprintf("X-Field-%d: %s\r\n", i, value)
				if _, err := io.WriteString(w, field[:min(len(field), length-sent)]); err != nil {
					return err
				}
				sent += len(field)
			}
			return nil
		}
	}
}

// tinyFields sends different header fields of a few bytes until the head has so many bytes, and not its end.
func (a target) tinyFields(length int) func(int) member {
	return func(int) member {
		return func(w io.Writer) error {
			var b strings.Builder
			b.WriteString(a.head("1.1", ""))
			for i := 0; b.Len() < length; i++ {
				fmt.Fprintf(&b, "%x:\r\n", i)
			}
			_, err := io.WriteString(w, b.String())
			return err
		}
	}
}

// repeated sends a text again and again, until the connection is closed or n bytes are sent.
func repeated(first, text string, n int) func(int) member {
	return func(int) member {
		return func(w io.Writer) error {
			if _, err := io.WriteString(w, first); err != nil {
				return err
			}
			piece := strings.Repeat(text, max(1, writeBytes/len(text)))
			for sent := 0; sent < n; sent += len(piece) {
				if _, err := io.WriteString(w, piece); err != nil {
					return err
				}
			}
			return nil
		}
	}
}

// mixed gives each client of a crowd one of several ways.
func mixed(ways ...func(int) member) func(int) member {
	return func(i int) member { return ways[i%len(ways)](i) }
}

// request is one ordinary request.
type request struct {
	address, text, want string
	body                []byte
	// pause, if set, divides the body's pieces.
	pause time.Duration
	piece int
}

const requestTime = 15 * time.Second

// try sends the request on a connection of its own and returns an error unless the response has the wanted text.
func (q request) try() error {
	n, err := net.DialTimeout("tcp", q.address, time.Second)
	if err != nil {
		return err
	}
	defer n.Close()
	_ = n.SetDeadline(time.Now().Add(requestTime))
	if _, err := io.WriteString(n, q.text); err != nil {
		return err
	}
	for b := q.body; len(b) > 0; {
		size := len(b)
		if q.piece > 0 {
			size = min(size, q.piece)
			time.Sleep(q.pause)
		}
		if _, err := n.Write(b[:size]); err != nil {
			return err
		}
		b = b[size:]
	}
	got, err := io.ReadAll(n)
	if err != nil {
		return err
	}
	if !strings.HasPrefix(string(got), "HTTP/1.1 20") || !strings.Contains(string(got), q.want) {
		return fmt.Errorf("answered %.200q", got)
	}
	return nil
}

// requireAnswer fails the test unless the request is answered, at one of many tries.
func (q request) requireAnswer(t *testing.T, when string) {
	t.Helper()
	var err error
	deadline := time.Now().Add(waitTimeout)
	for tries := 1; time.Now().Before(deadline); tries++ {
		if err = q.try(); err == nil {
			t.Logf("answered %s at try %d", when, tries)
			return
		}
		time.Sleep(pollInterval)
	}
	t.Errorf("an ordinary request isn't answered %s: %v", when, err)
}

// answerBeside plays a crowd and fails the test unless the requests are answered while it stays and after it has left.
func answerBeside(t *testing.T, c crowd, ordinary []request) {
	t.Helper()
	leave := gather(c)
	for _, q := range ordinary {
		q.requireAnswer(t, "while the crowd stays")
	}
	leave()
	for _, q := range ordinary {
		q.requireAnswer(t, "after the crowd has left")
	}
}

// inChunks returns a whole body of n bytes in chunks of 64 KiB.
func inChunks(n int) []byte {
	const size = 64 << 10
	return []byte(strings.Repeat(fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("b", size)), n/size) + "0\r\n\r\n")
}

// answerToStopped returns what a client gets that has stopped in its request when the process is told to stop. It returns
// once the process has ended, and fails the test unless it ended well.
func answerToStopped(t *testing.T, address string, send func(int) member, p *process) string {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if err := send(0)(c); err != nil {
		t.Fatal(err)
	}
	if err := p.command.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	_ = c.SetReadDeadline(time.Now().Add(waitTimeout))
	got, _ := io.ReadAll(c)
	select {
	case <-p.ended:
	case <-time.After(waitTimeout):
		t.Fatalf("%s doesn't end", p.name)
	}
	if code := p.command.ProcessState.ExitCode(); code != 0 {
		t.Errorf("%s ended with %d", p.name, code)
	}
	return string(got)
}
