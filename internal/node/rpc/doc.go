// Package rpc carries typed calls and notices between the system's processes
// over QUIC with mutual TLS.
//
// A call has its own stream: a header, a CBOR body, and one answer. A failed
// call says by its verdict whether the peer may have carried it out.
package rpc
