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
	// maxSpares is the maximum number of VMs besides the founders.
	maxSpares = 2
	// maxInFlight bounds the messages in flight; the oldest are lost first.
	maxInFlight = 300
)

// envelope is a message in flight with the addresses of its sender and receiver.
type envelope struct {
	from, to string
	message  raft.Message
}

// world simulates a few VMs and the network between them, and checks them with the oracle.
type world struct {
	seed     uint64
	weights  []uint32
	random   *rand.Rand
	vms      []*vm
	inFlight []envelope
	cutLinks map[[2]string]bool
	// lostIdentities are the identities whose disks are lost.
	lostIdentities map[raft.Identity]bool
	oracle         *oracle
	value          uint64
	faults         int
}

// vmCount returns the number of VMs in the schedule of a seed.
func vmCount(seed uint64) int {
	return founders + int(seed%(maxSpares+1))
}

func newWorld(seed uint64) *world {
	w := &world{
		seed: seed, weights: randomWeights(seed), random: rand.New(rand.NewPCG(seed, 7)), cutLinks: map[[2]string]bool{},
		lostIdentities: map[raft.Identity]bool{}, oracle: newOracle(),
	}
	members := make([]raft.Member, 0, founders)
	for i := range vmCount(seed) {
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

// Read implements io.Reader with random bytes from the seed, for identities.
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
	if err := v.store.SaveFounding(f); err != nil {
		v.crash()
		return
	}
	v.run(f)
}

// send puts messages in flight to the addresses that the sender knows.
func (w *world) send(v *vm, messages []raft.Message) {
	for _, m := range messages {
		if m.Kind == raft.MessageSnapshot && !v.addChunk(&m) {
			continue
		}
		if to := w.addressOf(v, m.To); to != "" {
			w.inFlight = append(w.inFlight, envelope{from: v.address, to: to, message: m})
		}
	}
	if n := len(w.inFlight) - maxInFlight; n > 0 {
		w.inFlight = w.inFlight[n:]
	}
}

// addressOf returns the address that v knows for an identity: the one in its
// last message, or the one in the configuration. A replaced VM keeps its address.
func (w *world) addressOf(v *vm, id raft.Identity) string {
	if address, ok := v.senderAddresses[id]; ok {
		return address
	}
	m, _ := v.core.Status().Configuration.Member(id)
	return m.Address
}

// deliver delivers the i-th message in flight; a duplicated one stays in flight.
func (w *world) deliver(i int, duplicate bool) {
	if len(w.inFlight) == 0 {
		return
	}
	i %= len(w.inFlight)
	e := w.inFlight[i]
	if !duplicate {
		w.inFlight = append(w.inFlight[:i:i], w.inFlight[i+1:]...)
	}
	if w.cutLinks[[2]string{e.from, e.to}] {
		return
	}
	for _, v := range w.vms {
		if v.address == e.to && v.core != nil && !v.suspended {
			if e.message.Address != "" && e.message.To == v.identity {
				v.senderAddresses[e.message.From] = e.message.Address
			}
			v.core.Step(e.message)
			v.settle()
		}
	}
}

func (w *world) tick(v *vm) {
	if v.core != nil && !v.suspended {
		v.core.Tick()
		v.settle()
	}
}

// leaders returns the running VMs whose replica is in the leader role.
func (w *world) leaders() []*vm {
	var found []*vm
	for _, v := range w.vms {
		if v.core != nil && !v.suspended && v.core.Status().Role == raft.Leader {
			found = append(found, v)
		}
	}
	return found
}

// propose proposes an edit at a leader, against its current revision or an older one.
func (w *world) propose(v *vm, stale bool) {
	w.value++
	revision := v.machine.revision
	if stale && revision > 0 {
		revision--
	}
	index, term, err := v.core.Propose([][]byte{edit(revision, w.value)})
	if err == nil {
		v.edits[index] = pendingEdit{term: term, floor: w.oracle.acknowledged}
	}
	v.settle()
}

func (w *world) read(v *vm) {
	v.readID++
	if v.core.Read(v.readID) == nil {
		v.reads[v.readID] = &pendingRead{floor: w.oracle.acknowledged}
	}
	v.settle()
}

// change proposes the next useful membership change at a leader.
func (w *world) change(v *vm, choice int) {
	c := v.core.Status().Configuration
	if next := w.nextChange(c, choice); next != nil {
		_, _, _ = v.core.Change(next)
		v.settle()
	}
}

func (w *world) nextChange(c raft.Configuration, choice int) raft.Change {
	for _, m := range c.Members {
		if w.lostIdentities[m.Identity] && choice%2 == 0 {
			return raft.Remove(m.Identity)
		}
	}
	for _, m := range c.Members {
		if !m.Voter && !w.lostIdentities[m.Identity] {
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

// joinAdmitted starts each replica without a group whose identity is in the committed configuration of a running replica that can reach it.
func (w *world) joinAdmitted() {
	for _, v := range w.vms {
		if !v.up || v.core != nil {
			continue
		}
		for _, o := range w.vms {
			if o.core == nil || o.suspended || w.cutLinks[[2]string{o.address, v.address}] {
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

// canLoseDisk reports whether every configuration that may be in force keeps a quorum of disks without v's.
func (w *world) canLoseDisk(v *vm) bool {
	for _, o := range w.vms {
		configurations := []raft.Configuration{o.lastConfiguration}
		if o.core != nil {
			s := o.core.Status()
			configurations = []raft.Configuration{s.Configuration, s.CommittedConfiguration}
		}
		for _, c := range configurations {
			if !w.keepsQuorum(c, v.identity) {
				return false
			}
		}
	}
	return true
}

func (w *world) keepsQuorum(c raft.Configuration, id raft.Identity) bool {
	lost := 0
	for _, m := range c.Members {
		if m.Voter && (w.lostIdentities[m.Identity] || m.Identity == id) {
			lost++
		}
	}
	return c.Voters() == 0 || c.Voters()-lost >= c.Quorum()
}

// injectFault makes a file operation of v fail after the given number of successful ones; the replica crashes then.
func (w *world) injectFault(v *vm, after int) {
	w.faults++
	v.folder.SetFault(func(faultfile.Operation, string) error {
		after--
		if after < 0 {
			return errFault
		}
		return nil
	})
}
