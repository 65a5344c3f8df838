package sitecontrol

import (
	"context"

	"hornbeamwood/internal/control/protocol"
	"hornbeamwood/internal/control/quic"
	"hornbeamwood/internal/control/raft"
	"hornbeamwood/internal/control/replica"
	"hornbeamwood/internal/node/rpc"
)

// peers calls other replicas about the membership of the log.
type peers struct {
	node      rpc.Node
	transport quic.Transport
}

// Probe implements admission.Peers.
func (p peers) Probe(ctx context.Context, address string) (replica.Formation, error) {
	return p.transport.Probe(ctx, address)
}

// Status implements admission.Peers.
func (p peers) Status(ctx context.Context, address string) (replica.Status, error) {
	return rpc.Call(ctx, p.node, address, protocol.Status, protocol.Empty{})
}

// Join implements admission.Peers.
func (p peers) Join(ctx context.Context, address string, m raft.Member) error {
	_, err := rpc.Call(ctx, p.node, address, protocol.ChangeMember, protocol.Change{Kind: protocol.AddLearner, Member: m})
	return err
}
