package event

import "github.com/apex/log"

// Events between the system's processes, 200 to 299.
var (
	// PeerConnected is written when another process of the system connects.
	PeerConnected = define(200, log.DebugLevel, "peer-connected", "Another process of the system connected; its certificate was verified.")
	// PeerRefused is written when a peer calls a method that its role does not allow.
	PeerRefused = define(201, log.WarnLevel, "peer-refused", "A process called a method that its certificate's role does not allow.")
	// NoticeRefused is written when a one-way message was rejected.
	NoticeRefused = define(202, log.WarnLevel, "notice-refused", "A message between processes could not be decoded, or its sender is not allowed to send it.")
	// KeysReloaded is written when rotated keys have been loaded.
	KeysReloaded = define(203, log.InfoLevel, "keys-reloaded", "The node's keys were reloaded; new connections use them.")
	// KeysNotReloaded is written when changed key files can't be used.
	KeysNotReloaded = define(204, log.ErrorLevel, "keys-not-reloaded", "Changed key files can't be used; the node continues with its current keys.")
	// KeysExpireSoon is written daily when the node's certificate expires soon.
	KeysExpireSoon = define(205, log.WarnLevel, "keys-expire-soon", "The node's certificate expires soon; issue a new one with hornbeamwood keys node.")
	// TunnelPeerAvoided is written when another entry gives no connections to servers.
	TunnelPeerAvoided = define(206, log.InfoLevel, "tunnel-peer-avoided", "Another entry gave no connection to a backend server and is asked last for a while; the field reason says why.")
	// TunnelFailed is written when no other entry could connect to a server.
	TunnelFailed = define(207, log.InfoLevel, "tunnel-failed", "No connection to a backend server could be established through another entry; the fields count the entries that were asked, those that were refused by the server and those that couldn't reach it.")
	// ClientsEnded is written, at most once a second, while clients that use up a process's memory or time are ended.
	ClientsEnded = define(208, log.WarnLevel, "clients-ended", "Clients were refused or their connections closed during a request, because together they held too much memory or all connections without progress, or took too long; the fields count them by reason since the last such line, and give the memory that is reserved for clients and its bound.")
)
