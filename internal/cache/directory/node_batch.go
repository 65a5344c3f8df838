package directory

import "hornbeamwood/internal/cache/block"

// KeyedMessage is a message with the key that determines its holders.
type KeyedMessage struct {
	// Key is the key of the piece that the message concerns.
	Key block.Key
	// Message is a Store, Pin or Unpin message.
	Message Message
}

// NodeBatch holds the messages for one node.
type NodeBatch struct {
	// To is the node's identity.
	To string
	// Message is a Batch.
	Message Message
	// Indexes are the indexes of the batch's messages in the argument of NodeBatches.
	Indexes []int
}

// NodeBatches returns one NodeBatch for each node that holds any of the keys, so that a prompt of many pieces takes one call to each node.
func (r Ring) NodeBatches(all []KeyedMessage) []NodeBatch {
	at := map[int]int{}
	var batches []NodeBatch
	for i, k := range all {
		r.each(k.Key, func(n int) {
			b, ok := at[n]
			if !ok {
				b = len(batches)
				at[n] = b
				batches = append(batches, NodeBatch{To: r.nodes[n]})
			}
			batches[b].Message.Batch = append(batches[b].Message.Batch, k.Message)
			batches[b].Indexes = append(batches[b].Indexes, i)
		})
	}
	return batches
}
