// Package suspicion decides which requests crash the servers that run them.
//
// A loss of a server is counted for each fingerprint that ran there. Only
// losses of different servers count, and a loss that a condemned fingerprint
// explains better no longer counts against those that ran beside it.
package suspicion
