package rpc

import (
	"crypto/tls"

	"hornbeamwood/internal/node/keys"
)

// Peer is the process at the other end of a connection, as identified by its certificate.
type Peer struct {
	// Name is the node's name.
	Name string
	// Role determines what the node may call.
	Role keys.Role
	// Address is the IP and port from which the peer calls.
	Address string
}

func peerOf(s tls.ConnectionState, address string) Peer {
	p := Peer{Address: address}
	if len(s.PeerCertificates) == 0 {
		return p
	}
	subject := s.PeerCertificates[0].Subject
	p.Name = subject.CommonName
	if len(subject.OrganizationalUnit) > 0 {
		p.Role = keys.Role(subject.OrganizationalUnit[0])
	}
	return p
}
