package rpc

import (
	"crypto/tls"

	"hornbeamwood/internal/node/keys"
)

// Peer is the process at the other end, as its certificate names it.
type Peer struct {
	// Name is the node's name.
	Name string
	// Role is what the node may do.
	Role keys.Role
	// Address is the IP and port that it calls from.
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
