package orders

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// target is the change that an order makes at one incarnation of an engine.
type target struct {
	engine      string
	incarnation uint64
	kind        Kind
	model       string
	version     string
	adapter     string
	role        string
}

func targetOf(o Outstanding) target {
	return target{
		engine:      o.Engine,
		incarnation: o.Incarnation,
		kind:        o.Order.Kind,
		model:       o.Order.Model,
		version:     o.Order.WeightVersion,
		adapter:     o.Order.Adapter,
		role:        o.Order.Role,
	}
}

// id returns the order ID of an attempt. Two controllers with the same target use the same ID, so that the engine carries it out once.
func (t target) id(attempt int) string {
	var b []byte
	for _, s := range []string{t.engine, string(t.kind), t.model, t.version, t.adapter, t.role} {
		b = binary.BigEndian.AppendUint32(b, uint32(len(s)))
		b = append(b, s...)
	}
	b = binary.BigEndian.AppendUint64(b, t.incarnation)
	b = binary.BigEndian.AppendUint64(b, uint64(attempt))
	d := sha256.Sum256(b)
	return hex.EncodeToString(d[:16])
}
