package quic

import (
	"context"
	"errors"
	"net/http"
	"time"

	"hornbeamwood/internal/base/codec"
	"hornbeamwood/internal/base/verdict"
	"hornbeamwood/internal/control/protocol"
	"hornbeamwood/internal/control/raft"
	"hornbeamwood/internal/control/replica"
	"hornbeamwood/internal/control/state"
	"hornbeamwood/internal/node/rpc"
	"hornbeamwood/internal/settings/lease"
)

// Config holds the dependencies of Register.
type Config struct {
	// Node receives and sends the calls.
	Node rpc.Node
	// Replica is this process's replica.
	Replica replica.Replica
	// Machine is the replicated state.
	Machine state.Machine
	// Leases tracks the settings leases while this replica is the leader.
	Leases Leases
}

type server struct {
	Config
	rounds rounds
}

// Leader gives this process access to the leader of the control log, which may be its own replica.
type Leader interface {
	// Confirm returns the term in which a quorum confirmed this replica as the leader after the call began.
	Confirm(ctx context.Context) (uint64, error)
	// Propose commits a section's command through this replica or the leader and returns its result.
	Propose(ctx context.Context, section string, body []byte) ([]byte, error)
	// CatchUp returns after this replica has applied everything that was committed before the call began, as confirmed by a quorum.
	CatchUp(ctx context.Context) error
}

// Register registers the handlers of the control log at the node. It must be called before Node.Serve.
func Register(c Config) Leader {
	s := &server{Config: c}
	s.rounds.confirm = s.confirmOnce
	rpc.Receive(c.Node, protocol.Message, func(_ rpc.Peer, m raft.Message) { c.Replica.Receive(m) })
	rpc.Handle(c.Node, protocol.Probe, s.probe)
	rpc.Handle(c.Node, protocol.Status, s.status)
	rpc.Handle(c.Node, protocol.Propose, s.propose)
	rpc.Handle(c.Node, protocol.Read, s.read)
	rpc.Handle(c.Node, protocol.Confirm, s.confirm)
	rpc.Handle(c.Node, protocol.InForce, s.inForce)
	rpc.Handle(c.Node, protocol.Holders, s.holders)
	rpc.Handle(c.Node, protocol.ChangeMember, s.changeMember)
	return s
}

// Confirm implements Leader.
func (s *server) Confirm(ctx context.Context) (uint64, error) {
	l, err := s.leadership(ctx)
	return l.term, err
}

// Propose implements Leader.
func (s *server) Propose(ctx context.Context, section string, body []byte) ([]byte, error) {
	a, err := s.propose(ctx, rpc.Peer{}, protocol.Proposal{Section: section, Body: body})
	return a.Result, err
}

// CatchUp implements Leader.
func (s *server) CatchUp(ctx context.Context) error {
	c, err := s.confirmed(ctx, protocol.ConfirmRequest{})
	if err != nil {
		return err
	}
	return s.Replica.WaitApplied(ctx, c.Index)
}

func (s *server) probe(context.Context, rpc.Peer, protocol.Empty) (replica.Formation, error) {
	return s.Replica.Formation(), nil
}

func (s *server) status(context.Context, rpc.Peer, protocol.Empty) (replica.Status, error) {
	return s.Replica.Status(), nil
}

// propose commits the proposal if this replica is the leader and otherwise forwards it once. A command that the
// replicas couldn't read is refused before it is in the log.
//
// The proposal is forwarded only after a refusal which guarantees that nothing
// was appended here, so it is never in the log twice.
func (s *server) propose(ctx context.Context, _ rpc.Peer, p protocol.Proposal) (protocol.Applied, error) {
	c, err := codec.Marshal(state.Command{At: time.Now().UnixNano(), Section: p.Section, Body: p.Body})
	if err != nil {
		return protocol.Applied{}, verdict.New(verdict.NotRun, http.StatusBadRequest, "malformed-command", "the command could not be encoded").WithCause(err)
	}
	if err := s.Machine.Check(c); err != nil {
		return protocol.Applied{}, verdict.New(verdict.NotRun, http.StatusBadRequest, "malformed-command", "the replicas could not read the command").WithCause(err)
	}
	a, err := s.Replica.Propose(ctx, c)
	if err == nil {
		return protocol.Applied{Index: a.Index, Result: a.Result}, nil
	}
	leader, ok := otherLeader(err)
	if !ok || p.Forwarded {
		return protocol.Applied{}, err
	}
	p.Forwarded = true
	return rpc.Call(ctx, s.Node, leader, protocol.Propose, p)
}

// read answers queries from a state that includes everything that was committed before the call.
func (s *server) read(ctx context.Context, _ rpc.Peer, q protocol.ReadRequest) (protocol.ReadResponse, error) {
	c, err := s.confirmed(ctx, protocol.ConfirmRequest{Report: q.Report})
	if err != nil {
		return protocol.ReadResponse{}, err
	}
	if err := s.Replica.WaitApplied(ctx, c.Index); err != nil {
		return protocol.ReadResponse{}, err
	}
	a := protocol.ReadResponse{Index: c.Index, Bodies: make([][]byte, 0, len(q.Queries))}
	for _, x := range q.Queries {
		b, err := s.Machine.Query(x)
		if err != nil {
			return protocol.ReadResponse{}, verdict.New(verdict.NotRun, http.StatusBadRequest, "malformed-query", "section %q could not answer", x.Section).WithCause(err)
		}
		a.Bodies = append(a.Bodies, b)
	}
	return a, nil
}

// confirmed returns an index that a quorum confirmed to the leader, on this replica or another one.
func (s *server) confirmed(ctx context.Context, q protocol.ConfirmRequest) (protocol.ConfirmResponse, error) {
	c, err := s.renewAndConfirm(ctx, q)
	if err == nil {
		return c, nil
	}
	leader, ok := otherLeader(err)
	if !ok {
		return c, err
	}
	return rpc.Call(ctx, s.Node, leader, protocol.Confirm, q)
}

func (s *server) confirm(ctx context.Context, _ rpc.Peer, q protocol.ConfirmRequest) (protocol.ConfirmResponse, error) {
	return s.renewAndConfirm(ctx, q)
}

// renewAndConfirm records the report and then lets a quorum confirm this replica as the leader.
//
// In the reverse order an edit could be declared in force between the two steps,
// and the entry would continue with the older settings.
func (s *server) renewAndConfirm(ctx context.Context, q protocol.ConfirmRequest) (protocol.ConfirmResponse, error) {
	if q.Report != nil {
		s.Leases.Renew(s.Replica.Status().Term, *q.Report)
	}
	l, err := s.leadership(ctx)
	return protocol.ConfirmResponse{Index: l.index}, err
}

func (s *server) inForce(ctx context.Context, _ rpc.Peer, q protocol.InForceQuery) (lease.InForceStatus, error) {
	l, err := s.leadership(ctx)
	if err == nil {
		return s.Leases.InForce(l.term, q.Revision), nil
	}
	leader, ok := otherLeader(err)
	if !ok {
		return lease.InForceStatus{}, err
	}
	return rpc.Call(ctx, s.Node, leader, protocol.InForce, q)
}

func (s *server) holders(ctx context.Context, _ rpc.Peer, q protocol.Empty) (protocol.HolderList, error) {
	_, err := s.leadership(ctx)
	if err == nil {
		return protocol.HolderList{Holders: s.Leases.Live()}, nil
	}
	leader, ok := otherLeader(err)
	if !ok {
		return protocol.HolderList{}, err
	}
	return rpc.Call(ctx, s.Node, leader, protocol.Holders, q)
}

// leadership is a quorum's confirmation of this replica as the leader: the term and the commit index at that time.
type leadership struct {
	term, index uint64
}

// leadership returns a confirmation from after the call began. This replica has applied the log up to its index.
func (s *server) leadership(ctx context.Context) (leadership, error) {
	if s.Replica.Status().Role != raft.Leader.String() {
		return s.confirmOnce(ctx)
	}
	return s.rounds.next(ctx)
}

// confirmOnce runs one confirmation round.
//
// It compares the terms before and after the round. If leadership was lost and
// regained in between, the local record of leases would lack those that the
// other leader granted.
func (s *server) confirmOnce(ctx context.Context) (leadership, error) {
	before := s.Replica.Status().Term
	i, err := s.Replica.ReadIndex(ctx)
	if err != nil {
		return leadership{}, err
	}
	if err := s.Replica.WaitApplied(ctx, i); err != nil {
		return leadership{}, err
	}
	after := s.Replica.Status()
	if after.Term != before || after.Role != raft.Leader.String() {
		return leadership{}, verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "leadership-changed", "the control log's leadership changed during the call").WithRetryAfter(time.Second)
	}
	return leadership{term: before, index: i}, nil
}

func (s *server) changeMember(ctx context.Context, _ rpc.Peer, c protocol.Change) (protocol.Empty, error) {
	changes := map[protocol.ChangeKind]func() error{
		protocol.AddLearner: func() error { return s.Replica.AddLearner(ctx, c.Member) },
		protocol.Promote:    func() error { return s.Replica.Promote(ctx, c.Member.Identity) },
		protocol.Remove:     func() error { return s.Replica.Remove(ctx, c.Member.Identity) },
	}
	change, ok := changes[c.Kind]
	if !ok {
		return protocol.Empty{}, verdict.New(verdict.NotRun, http.StatusBadRequest, "unknown-change", "no member change is named %q", c.Kind)
	}
	return protocol.Empty{}, change()
}

// otherLeader returns the leader's address if err means that nothing was done because another replica is the leader.
func otherLeader(err error) (string, bool) {
	var n replica.NotLeaderError
	if verdict.Of(err) != verdict.NotRun || !errors.As(err, &n) || n.Address == "" {
		return "", false
	}
	return n.Address, true
}
