// Package completion runs completions at model engines. It builds the view of
// the cell for a routing decision, applies admission control and dispatches the
// request. Until the first event has gone to the caller it retries a failed
// attempt on another server. It also exports the KV cache of prompts that are
// likely to be reused.
package completion
