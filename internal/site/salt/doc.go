// Package salt names the texts under which engines and stores keep KV cache, and decides which workspaces share one.
package salt
