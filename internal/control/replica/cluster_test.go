package replica

import (
	"context"
	"encoding/binary"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"hornbeamwood/internal/base/codec"
	"hornbeamwood/internal/base/verdict"
)

// book is a Machine that keeps the commands in order.
type book struct {
	mu    sync.Mutex
	lines []string
}

func (b *book) Apply(_ uint64, command []byte) []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lines = append(b.lines, string(command))
	return binary.BigEndian.AppendUint64(nil, uint64(len(b.lines)))
}

func (b *book) Snapshot() ([]byte, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return codec.Marshal(b.lines)
}

func (b *book) Restore(snapshot []byte) error {
	lines, err := codec.Unmarshal[[]string](snapshot)
	if err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lines = lines
	return nil
}

func (b *book) text() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Join(b.lines, " ")
}

// node is one VM: its folder outlives the replica on it.
type node struct {
	name, address, folder string
	replica               Replica
	book                  *book
}

// cluster is a group of replicas in this process.
type cluster struct {
	t       *testing.T
	network *network
	seeds   []Seed
	nodes   []*node
	adjust  func(*Config)
}

// patience is how long a condition may take before the test gives up; nothing is concluded from shorter times.
const patience = 20 * time.Second

func newCluster(t *testing.T, size int, adjust func(*Config)) *cluster {
	t.Helper()
	c := &cluster{t: t, network: newNetwork(), adjust: adjust}
	for i := range size {
		n := &node{name: fmt.Sprintf("control-%d", i+1), address: fmt.Sprintf("10.0.0.%d:7000", i+1), folder: t.TempDir()}
		c.nodes = append(c.nodes, n)
		c.seeds = append(c.seeds, Seed{Name: n.name, Address: n.address})
	}
	for _, n := range c.nodes {
		c.start(n)
	}
	t.Cleanup(func() {
		for _, n := range c.nodes {
			c.kill(n)
		}
	})
	return c
}

func (c *cluster) config(n *node) Config {
	config := Config{
		Name: n.name, Folder: n.folder, Address: n.address, Seeds: c.seeds,
		Transport: port{c.network, n.address}, Machine: n.book, Tick: 5 * time.Millisecond, Seed: uint64(len(n.name)) + uint64(n.address[7]),
	}
	if c.adjust != nil {
		c.adjust(&config)
	}
	return config
}

func (c *cluster) start(n *node) {
	c.t.Helper()
	n.book = &book{}
	r, err := New(c.config(n))
	if err != nil {
		c.t.Fatalf("%s: %v", n.name, err)
	}
	n.replica = r
	c.network.attach(n.address, r)
}

// kill cuts a replica off and ends it without a word to the others.
func (c *cluster) kill(n *node) {
	c.network.detach(n.address)
	c.network.thaw(n.address)
	n.replica.(*replica).fail(errUnreachable)
	<-n.replica.Done()
}

// until waits for a condition.
func (c *cluster) until(what string, condition func() bool) {
	c.t.Helper()
	deadline := time.Now().Add(patience)
	for !condition() {
		if time.Now().After(deadline) {
			c.t.Fatalf("gave up waiting: %s\n%s", what, c.describe())
		}
		time.Sleep(time.Millisecond)
	}
}

func (c *cluster) describe() string {
	var b strings.Builder
	for _, n := range c.nodes {
		fmt.Fprintf(&b, "%+v\n", n.replica.Status())
	}
	return b.String()
}

// leader waits until one of the given nodes, or of all, leads.
func (c *cluster) leader(among ...*node) *node {
	c.t.Helper()
	if len(among) == 0 {
		among = c.nodes
	}
	var leader *node
	c.until("a leader", func() bool {
		for _, n := range among {
			if s := n.replica.Status(); s.Role == "leader" && s.CaughtUp {
				leader = n
				return true
			}
		}
		return false
	})
	return leader
}

// others returns all nodes but n.
func (c *cluster) others(n *node) []*node {
	var rest []*node
	for _, o := range c.nodes {
		if o != n {
			rest = append(rest, o)
		}
	}
	return rest
}

// write proposes at whoever leads among the nodes until it is committed. A
// commit that is unknown, as after a change of the leader on a busy machine,
// is read back before the next try, so that each word is written once.
func (c *cluster) write(command string, among ...*node) {
	c.t.Helper()
	unknown := false
	c.until("commit of "+command, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		n := c.leader(among...)
		if unknown {
			i, err := n.replica.ReadIndex(ctx)
			if err != nil || n.replica.WaitApplied(ctx, i) != nil {
				return false
			}
			words := strings.Fields(n.book.text())
			if len(words) > 0 && words[len(words)-1] == command {
				return true
			}
		}
		_, err := n.replica.Propose(ctx, []byte(command))
		unknown = err != nil && verdict.Of(err) != verdict.NotRun
		return err == nil
	})
}

// agree waits until all the nodes hold the same text.
func (c *cluster) agree(text string, among ...*node) {
	c.t.Helper()
	for _, n := range among {
		c.until(fmt.Sprintf("%s holds %.40q", n.name, text), func() bool { return n.book.text() == text })
	}
}
