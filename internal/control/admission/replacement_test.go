package admission

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"hornbeamwood/internal/control/protocol"
	"hornbeamwood/internal/control/raft"
)

// group is a model of a control log of a few VMs: the configurations in each VM's
// log, with the rules of raft for what is committed and who may lead. Entries
// reach every VM whose disk works at once.
type group struct {
	vms    []vm
	leader int
	// borne is the number of VMs whose disks may be lost at once.
	borne int
}

type vm struct {
	// disks counts the disks that the VM has had.
	disks   int
	stalled bool
	log     []entry
}

type entry struct {
	term    int
	members []raft.Member
}

func newGroup(vms, borne int) group {
	g := group{vms: make([]vm, vms), borne: borne}
	var founders []raft.Member
	for i := range g.vms {
		founders = append(founders, raft.Member{Identity: g.identity(i), Address: address(i), Voter: true})
	}
	for i := range g.vms {
		g.vms[i].log = []entry{{members: founders}}
	}
	return g
}

func address(i int) string { return fmt.Sprint("vm-", i) }

func (g group) identity(i int) raft.Identity {
	return raft.Identity(fmt.Sprint(address(i), ".", g.vms[i].disks))
}

func (g group) clone() group {
	g.vms = slices.Clone(g.vms)
	return g
}

func (g group) members(i int) []raft.Member {
	return g.vms[i].log[len(g.vms[i].log)-1].members
}

// working returns the VM that has the member's disk, or -1 if the disk is lost or stalled.
func (g group) working(m raft.Member) int {
	for i, v := range g.vms {
		if g.identity(i) == m.Identity && !v.stalled {
			return i
		}
	}
	return -1
}

// quorum returns whether a majority of the voters satisfies the condition on its VM.
func (g group) quorum(members []raft.Member, condition func(i int) bool) bool {
	voters, yes := 0, 0
	for _, m := range members {
		if !m.Voter {
			continue
		}
		voters++
		if i := g.working(m); i >= 0 && condition(i) {
			yes++
		}
	}
	return yes > voters/2
}

// committed returns the number of entries of the leader's log that are committed.
func (g group) committed() int {
	log := g.vms[g.leader].log
	for n := len(log); n > 0; n-- {
		if g.quorum(log[len(log)-1].members, func(i int) bool { return len(g.vms[i].log) >= n }) {
			return n
		}
	}
	return 0
}

// replicate gives the leader's log to all its members whose disks work.
func (g group) replicate() {
	for _, m := range g.members(g.leader) {
		if i := g.working(m); i >= 0 {
			g.vms[i].log = g.vms[g.leader].log
		}
	}
}

// elect makes another VM the leader if one can win, and returns whether there is a leader.
func (g *group) elect(change bool) bool {
	n := len(g.vms)
	for k := range n {
		i := (g.leader + k) % n
		if change && k == 0 || len(g.vms[i].log) == 0 || g.vms[i].stalled {
			continue
		}
		mine := g.vms[i].log
		wins := g.quorum(g.members(i), func(j int) bool {
			log := g.vms[j].log
			return len(log) == 0 || log[len(log)-1].term < mine[len(mine)-1].term ||
				log[len(log)-1].term == mine[len(mine)-1].term && len(log) <= len(mine)
		})
		if wins {
			g.leader = i
			term := mine[len(mine)-1].term + 1
			g.vms[i].log = append(slices.Clip(mine), entry{term, g.members(i)})
			g.replicate()
			return true
		}
	}
	return false
}

// reconcile lets a blank VM join, or makes the change that Next calls for.
func (g *group) reconcile() {
	if len(g.vms[g.leader].log) == 0 {
		g.elect(false)
		return
	}
	g.replicate()
	if g.committed() < len(g.vms[g.leader].log) {
		return
	}
	latest := raft.Configuration{Members: g.members(g.leader)}
	v := View{Self: g.identity(g.leader), Members: latest.Members, Commit: 1, Matches: map[raft.Identity]uint64{}, Silent: map[raft.Identity]time.Duration{}, Replaced: map[raft.Identity]bool{}}
	for _, m := range latest.Members {
		v.Replaced[m.Identity] = !g.current(m)
		if i := g.working(m); i >= 0 {
			v.Matches[m.Identity] = 1
		}
	}
	if c, ok := Next(v); ok {
		g.change(latest, c)
		return
	}
	for i := range g.vms {
		if _, ok := latest.Member(g.identity(i)); !ok {
			g.change(latest, protocol.Change{Kind: protocol.AddLearner, Member: raft.Member{Identity: g.identity(i), Address: address(i)}})
			return
		}
	}
}

// current returns whether the member's disk is in use, stalled or not.
func (g group) current(m raft.Member) bool {
	for i := range g.vms {
		if g.identity(i) == m.Identity {
			return true
		}
	}
	return false
}

func (g group) change(latest raft.Configuration, c protocol.Change) {
	next := latest.Without(c.Member.Identity)
	if c.Kind != protocol.Remove {
		c.Member.Voter = c.Kind == protocol.Promote
		next = latest.With(c.Member)
	}
	log := g.vms[g.leader].log
	g.vms[g.leader].log = append(slices.Clip(log), entry{log[len(log)-1].term, next.Members})
	g.replicate()
}

// mayLose returns whether the loss of VM i's disk is one that must be borne: all
// but a few of the other VMs have a vote that is committed.
func (g group) mayLose(i int) bool {
	log := g.vms[g.leader].log
	if len(log) == 0 {
		return i == g.leader
	}
	without := 1
	for j := range g.vms {
		if j != i && !(g.votes(j, log[len(log)-1]) && g.votes(j, log[max(0, g.committed()-1)])) {
			without++
		}
	}
	return without <= g.borne
}

// votes returns whether VM i's disk has a vote in the configuration of e.
func (g group) votes(i int, e entry) bool {
	return raft.Configuration{Members: e.members}.Voter(g.identity(i))
}

// recovers returns whether the group has a leader once no disk is stalled.
func (g group) recovers() bool {
	g = g.clone()
	for i := range g.vms {
		g.vms[i].stalled = false
	}
	return g.elect(false)
}

// steps returns the groups that one step leads to: a reconciliation, a lost disk, a
// stall or its end, another leader.
func (g group) steps() map[string]group {
	next := map[string]group{}
	add := func(name string, step func(g *group) bool) {
		if c := g.clone(); step(&c) {
			next[name] = c
		}
	}
	add("reconcile", func(g *group) bool { g.reconcile(); return true })
	add("change the leader", func(g *group) bool { return g.elect(true) })
	for i := range g.vms {
		if g.mayLose(i) {
			add("lose the disk of "+address(i), func(g *group) bool {
				g.vms[i] = vm{disks: g.vms[i].disks + 1}
				if i == g.leader {
					g.elect(true)
				}
				return g.vms[i].disks <= 4
			})
		}
		add("stall or free "+address(i), func(g *group) bool {
			g.vms[i].stalled = !g.vms[i].stalled
			return i != g.leader
		})
	}
	return next
}

// key identifies the group among those that were visited, without the entries that no longer matter.
func (g group) key() string { return fmt.Sprint(g.leader, g.vms) }

// Guards against a control log that stays without a quorum: a disk is lost again
// right after the replica on it got a vote beside the identity that it replaces.
func TestReplacementsInAnyOrderLeaveAQuorum(t *testing.T) {
	for _, c := range []struct{ vms, borne, depth int }{{3, 1, 8}, {5, 1, 5}, {5, 2, 5}} {
		t.Run(fmt.Sprintf("%d VMs, %d borne", c.vms, c.borne), func(t *testing.T) {
			visited := map[string]bool{}
			frontier := []group{newGroup(c.vms, c.borne)}
			paths := [][]string{nil}
			for depth := 0; depth < c.depth; depth++ {
				var next []group
				var nextPaths [][]string
				for i, g := range frontier {
					for name, s := range g.steps() {
						if visited[s.key()] {
							continue
						}
						visited[s.key()] = true
						path := append(slices.Clip(paths[i]), name)
						if !s.recovers() {
							t.Fatalf("no quorum after %q", path)
						}
						next, nextPaths = append(next, s), append(nextPaths, path)
					}
				}
				frontier, paths = next, nextPaths
			}
			t.Logf("%d states", len(visited))
		})
	}
}
