// Package rpc sends typed calls and notices between the system's processes over
// QUIC with mutual TLS.
//
// Each call uses its own stream, with a header that contains the CBOR body, and
// one answer. The verdict of a failed call states whether the peer may have
// executed it. After a call made with Open, both sides go on with the stream.
package rpc
