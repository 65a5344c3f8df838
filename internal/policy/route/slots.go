package route

// BatchSlots is the name of the element that waits for room in the batch.
const BatchSlots = "batch-slots"

// batchSlots adds the wait for a place in a full batch. Without it a server
// whose batch is full of long answers looks idle, because nothing waits for
// prefill there; one sees first tokens that take as long as an answer.
type batchSlots struct{}

func (batchSlots) Name() string { return BatchSlots }

// answerTokens is the length of an answer where nothing better is known.
const answerTokens = 200

// Apply adds the time until enough answers have ended.
func (batchSlots) Apply(_ *Query, c *Candidate, e *Estimate) {
	if c.Load.MaxRunning <= 0 || c.Load.DecodeRate <= 0 {
		return
	}
	excess := c.Load.Running + int(c.Since.Count()) - c.Load.MaxRunning + 1
	if excess <= 0 {
		return
	}
	ends := c.Load.DecodeRate / answerTokens * float64(c.Load.MaxRunning)
	e.Wait += float64(excess) / ends
}
