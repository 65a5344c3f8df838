package control

import (
	"context"

	"hornbeamwood/internal/base/codec"
	"hornbeamwood/internal/control/ledger"
	"hornbeamwood/internal/control/quic"
	"hornbeamwood/internal/control/state"
)

// localLedger reads this replica's copy of the ledger and writes through the log.
type localLedger struct {
	machine state.Machine
	leader  quic.Leader
}

// Owners implements reaper.Ledger.
func (l localLedger) Owners(context.Context) ([]ledger.Owner, error) {
	q, err := codec.Marshal(ledger.Query{Owners: &ledger.OwnersQuery{}})
	if err != nil {
		return nil, err
	}
	b, err := l.machine.Query(state.Query{Section: ledger.Name, Body: q})
	if err != nil {
		return nil, err
	}
	o, err := codec.Unmarshal[ledger.Owners](b)
	return o.Owners, err
}

// Abandon implements reaper.Ledger.
func (l localLedger) Abandon(ctx context.Context, o ledger.Owner) error {
	c, err := codec.Marshal(ledger.Command{Abandon: &ledger.Abandon{Entry: o.Entry, Incarnation: o.Incarnation}})
	if err != nil {
		return err
	}
	_, err = l.leader.Propose(ctx, ledger.Name, c)
	return err
}
