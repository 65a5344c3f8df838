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

// commandRecorder is a Machine that records the commands in order.
type commandRecorder struct {
	mu       sync.Mutex
	commands []string
}

func (r *commandRecorder) Apply(_ uint64, command []byte) []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.commands = append(r.commands, string(command))
	return binary.BigEndian.AppendUint64(nil, uint64(len(r.commands)))
}

func (r *commandRecorder) Snapshot() ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return codec.Marshal(r.commands)
}

func (r *commandRecorder) Restore(snapshot []byte) error {
	commands, err := codec.Unmarshal[[]string](snapshot)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.commands = commands
	return nil
}

func (r *commandRecorder) joined() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return strings.Join(r.commands, " ")
}

// node is a VM; its folder is kept across restarts of its replica.
type node struct {
	name, address, folder string
	replica               Replica
	recorder              *commandRecorder
}

// cluster is a group of replicas in this process.
type cluster struct {
	t       *testing.T
	network *network
	seeds   []Seed
	nodes   []*node
	adjust  func(*Config)
}

// conditionTimeout is the timeout of a condition; a test draws no conclusions from shorter times.
const conditionTimeout = 20 * time.Second

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
		Transport: testTransport{c.network, n.address}, Machine: n.recorder, Tick: 5 * time.Millisecond, Seed: uint64(len(n.name)) + uint64(n.address[7]),
	}
	if c.adjust != nil {
		c.adjust(&config)
	}
	return config
}

func (c *cluster) start(n *node) {
	c.t.Helper()
	n.recorder = &commandRecorder{}
	r, err := New(c.config(n))
	if err != nil {
		c.t.Fatalf("%s: %v", n.name, err)
	}
	n.replica = r
	c.network.attach(n.address, r)
}

// kill disconnects a replica and stops it without a leadership transfer.
func (c *cluster) kill(n *node) {
	c.network.detach(n.address)
	c.network.resume(n.address)
	n.replica.(*replica).fail(errUnreachable)
	<-n.replica.Done()
}

func (c *cluster) waitUntil(what string, condition func() bool) {
	c.t.Helper()
	deadline := time.Now().Add(conditionTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			c.t.Fatalf("timed out waiting for %s\n%s", what, c.describe())
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

// waitForLeader waits until one of the given nodes, or of all, is the leader.
func (c *cluster) waitForLeader(among ...*node) *node {
	c.t.Helper()
	if len(among) == 0 {
		among = c.nodes
	}
	var leader *node
	c.waitUntil("a leader", func() bool {
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

// commit proposes a command at the leader among the nodes until it is committed.
// If the outcome of an attempt is unknown, for example after a leader change on a
// busy machine, it reads the state before the next attempt, so that the command
// is committed only once.
func (c *cluster) commit(command string, among ...*node) {
	c.t.Helper()
	unknown := false
	c.waitUntil("commit of "+command, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), conditionTimeout)
		defer cancel()
		n := c.waitForLeader(among...)
		if unknown {
			i, err := n.replica.ReadIndex(ctx)
			if err != nil || n.replica.WaitApplied(ctx, i) != nil {
				return false
			}
			words := strings.Fields(n.recorder.joined())
			if len(words) > 0 && words[len(words)-1] == command {
				return true
			}
		}
		_, err := n.replica.Propose(ctx, []byte(command))
		unknown = err != nil && verdict.Of(err) != verdict.NotRun
		return err == nil
	})
}

// waitForState waits until all the nodes have the given state.
func (c *cluster) waitForState(text string, among ...*node) {
	c.t.Helper()
	for _, n := range among {
		c.waitUntil(fmt.Sprintf("the state of %s to be %.40q", n.name, text), func() bool { return n.recorder.joined() == text })
	}
}
