package directory

import "hornbeamwood/internal/cache/block"

// Keyed is a message about one key.
type Keyed struct {
	// Key is the piece that the message is about.
	Key block.Key
	// Message is a Store, Pin or Unpin message.
	Message Message
}

// Bundle holds the messages that one node gets.
type Bundle struct {
	// To is the node's identity.
	To string
	// Message is a Batch.
	Message Message
	// Places are the indexes of the batch's messages among those that were bundled.
	Places []int
}

// Bundles returns one Bundle for each node that holds any of the keys, so that a prompt of many pieces costs one exchange with each node.
func (r Ring) Bundles(all []Keyed) []Bundle {
	at := map[int]int{}
	var bundles []Bundle
	for i, k := range all {
		r.each(k.Key, func(n int) {
			b, ok := at[n]
			if !ok {
				b = len(bundles)
				at[n] = b
				bundles = append(bundles, Bundle{To: r.nodes[n]})
			}
			bundles[b].Message.Batch = append(bundles[b].Message.Batch, k.Message)
			bundles[b].Places = append(bundles[b].Places, i)
		})
	}
	return bundles
}
