package raft_test

import (
	"fmt"
	"math/rand/v2"

	"hornbeamwood/internal/control/disk"
	"hornbeamwood/internal/control/faultfile"
	"hornbeamwood/internal/control/raft"
)

const (
	founders = 3
	// spares are the most VMs besides the founders.
	spares = 2
	// maxFlight bounds the messages under way; the oldest are lost first.
	maxFlight = 300
)

// parcel is a message on its way.
type parcel struct {
	from, to string
	message  raft.Message
}

// world is a few VMs, the messages between them, and the oracle.
type world struct {
	seed    uint64
	weights []uint32
	random  *rand.Rand
	vms     []*vm
	flight  []parcel
	cuts    map[[2]string]bool
	// dead are the identities whose disks are lost.
	dead   map[raft.Identity]bool
	oracle *oracle
	value  uint64
	faults int
}

// machinesOf returns how many VMs the schedule of a seed has.
func machinesOf(seed uint64) int {
	return founders + int(seed%(spares+1))
}

func newWorld(seed uint64) *world {
	w := &world{
		seed: seed, weights: weigh(seed), random: rand.New(rand.NewPCG(seed, 7)), cuts: map[[2]string]bool{},
		dead: map[raft.Identity]bool{}, oracle: newOracle(),
	}
	members := make([]raft.Member, 0, founders)
	for i := range machinesOf(seed) {
		v := &vm{world: w, name: fmt.Sprintf("v%d", i), address: fmt.Sprintf("10.0.0.%d:1", i), folder: faultfile.New()}
		v.start()
		w.vms = append(w.vms, v)
		if i < founders {
			members = append(members, raft.Member{Name: v.name, Identity: v.identity, Address: v.address, Voter: true})
		}
	}
	f := disk.Founding{ID: "f", Configuration: raft.NewConfiguration(members...)}
	for _, v := range w.vms[:founders] {
		w.join(v, f)
	}
	return w
}

// Read draws identities from the world's seed.
func (w *world) Read(b []byte) (int, error) {
	for i := range b {
		b[i] = byte(w.random.Uint32())
	}
	return len(b), nil
}

func (w *world) join(v *vm, f disk.Founding) {
	if v.store == nil {
		return
	}
	if err := v.store.Found(f); err != nil {
		v.crash()
		return
	}
	v.run(f)
}

// send puts messages on their way to the address that the sender knows.
func (w *world) send(v *vm, messages []raft.Message) {
	for _, m := range messages {
		if m.Kind == raft.MessageSnapshot && !v.fill(&m) {
			continue
		}
		if to := w.addressOf(v, m.To); to != "" {
			w.flight = append(w.flight, parcel{from: v.address, to: to, message: m})
		}
	}
	if n := len(w.flight) - maxFlight; n > 0 {
		w.flight = w.flight[n:]
	}
}

// addressOf returns where v believes an identity to be: where it was last heard
// from, or what the configuration says; the new VM has the old one's address.
func (w *world) addressOf(v *vm, id raft.Identity) string {
	if address, ok := v.heard[id]; ok {
		return address
	}
	m, _ := v.core.Status().Configuration.Member(id)
	return m.Address
}

// deliver hands over the i-th message under way; a duplicate stays under way.
func (w *world) deliver(i int, duplicate bool) {
	if len(w.flight) == 0 {
		return
	}
	i %= len(w.flight)
	p := w.flight[i]
	if !duplicate {
		w.flight = append(w.flight[:i:i], w.flight[i+1:]...)
	}
	if w.cuts[[2]string{p.from, p.to}] {
		return
	}
	for _, v := range w.vms {
		if v.address == p.to && v.core != nil && !v.frozen {
			if p.message.Address != "" && p.message.To == v.identity {
				v.heard[p.message.From] = p.message.Address
			}
			v.core.Step(p.message)
			v.settle()
		}
	}
}

func (w *world) tick(v *vm) {
	if v.core != nil && !v.frozen {
		v.core.Tick()
		v.settle()
	}
}

// leaders returns the VMs that believe to lead.
func (w *world) leaders() []*vm {
	var found []*vm
	for _, v := range w.vms {
		if v.core != nil && !v.frozen && v.core.Status().Role == raft.Leader {
			found = append(found, v)
		}
	}
	return found
}

// propose edits at a VM that believes to lead, against its own revision or an older one.
func (w *world) propose(v *vm, stale bool) {
	w.value++
	revision := v.machine.revision
	if stale && revision > 0 {
		revision--
	}
	index, term, err := v.core.Propose([][]byte{edit(revision, w.value)})
	if err == nil {
		v.edits[index] = pendingEdit{term: term, floor: w.oracle.accepted}
	}
	v.settle()
}

func (w *world) read(v *vm) {
	v.readID++
	if v.core.Read(v.readID) == nil {
		v.reads[v.readID] = &pendingRead{floor: w.oracle.accepted}
	}
	v.settle()
}

// change makes the next useful membership change at a VM that believes to lead.
func (w *world) change(v *vm, choice int) {
	c := v.core.Status().Configuration
	if next := w.wanted(c, choice); next != nil {
		_, _, _ = v.core.Change(next)
		v.settle()
	}
}

func (w *world) wanted(c raft.Configuration, choice int) raft.Change {
	for _, m := range c.Members {
		if w.dead[m.Identity] && choice%2 == 0 {
			return raft.Remove(m.Identity)
		}
	}
	for _, m := range c.Members {
		if !m.Voter && !w.dead[m.Identity] {
			return raft.Promote(m.Identity)
		}
	}
	for _, v := range w.vms {
		if _, ok := c.Member(v.identity); !ok && v.up {
			return raft.AddLearner(raft.Member{Name: v.name, Identity: v.identity, Address: v.address})
		}
	}
	if c.Voters() > founders {
		return raft.Remove(c.Members[choice%len(c.Members)].Identity)
	}
	return nil
}

// admit lets blank VMs join once a formed one that they reach has them in its committed configuration.
func (w *world) admit() {
	for _, v := range w.vms {
		if !v.up || v.core != nil {
			continue
		}
		for _, o := range w.vms {
			if o.core == nil || o.frozen || w.cuts[[2]string{o.address, v.address}] {
				continue
			}
			if _, ok := o.core.Status().CommittedConfiguration.Member(v.identity); ok {
				f, _ := o.store.Founding()
				w.join(v, f)
				break
			}
		}
	}
}

// mayLose returns whether a quorum of living disks is left in every configuration that may be in force.
func (w *world) mayLose(v *vm) bool {
	for _, o := range w.vms {
		configurations := []raft.Configuration{o.last}
		if o.core != nil {
			s := o.core.Status()
			configurations = []raft.Configuration{s.Configuration, s.CommittedConfiguration}
		}
		for _, c := range configurations {
			if !w.survives(c, v.identity) {
				return false
			}
		}
	}
	return true
}

func (w *world) survives(c raft.Configuration, lost raft.Identity) bool {
	dead := 0
	for _, m := range c.Members {
		if m.Voter && (w.dead[m.Identity] || m.Identity == lost) {
			dead++
		}
	}
	return c.Voters() == 0 || c.Voters()-dead >= c.Quorum()
}

// fault lets a file operation of v fail after some more have passed; the replica ends there.
func (w *world) fault(v *vm, after int) {
	w.faults++
	v.folder.SetFault(func(faultfile.Operation, string) error {
		after--
		if after < 0 {
			return errFault
		}
		return nil
	})
}
