package event

import "github.com/apex/log"

// Events of a site's processes, 900 to 999.
var (
	// JoinAsked is written when a replica asks to be added to the group.
	JoinAsked = define(900, log.InfoLevel, "join-asked", "A replica that belongs to no group asked the named leader to be added to the group.")
	// ReplicaLost is written when a control replica stops answering polls.
	ReplicaLost = define(901, log.WarnLevel, "replica-lost", "A control replica doesn't answer polls; its information comes from the other replicas.")
	// ReplicaRegained is written when a control replica answers polls again.
	ReplicaRegained = define(902, log.InfoLevel, "replica-regained", "A control replica answers polls, for the first time or again.")
	// DocumentInForce is written when a process applies another document.
	DocumentInForce = define(903, log.InfoLevel, "document-in-force", "The process applies the document with the given number; the fields give the previous number, the replica and the bytes that it came from, how long ago it was first shown, and how long reading it took.")
	// DocumentTaken is written when a replica answers a document that an operator sent.
	DocumentTaken = define(904, log.InfoLevel, "document-taken", "An operator's document was answered; changed says whether it differs from the previous one, error why it wasn't accepted.")
	// EvacuationOrdered is written when a replica answers an order to evacuate a zone or to end that.
	EvacuationOrdered = define(919, log.InfoLevel, "evacuation-ordered", "An operator's order to evacuate an availability zone, or to end that, was answered; number counts the orders for the zone, error says why it wasn't accepted.")
	// EvacuationInForce is written when an entry learns that a zone is evacuated or no longer is.
	EvacuationInForce = define(923, log.InfoLevel, "evacuation-in-force", "The entry sends no requests to servers of the availability zone any more, or does so again; the fields give the number of the order and the replica that it came from.")
	// VersionNamed is written when a replica answers an order for new weights.
	VersionNamed = define(905, log.InfoLevel, "version-named", "An operator's order for new weights was answered; error says why it wasn't accepted.")
	// ServerAnnounced is written when the recorded state of a backend server changes.
	ServerAnnounced = define(906, log.InfoLevel, "server-announced", "The recorded state of a backend server has changed; the fields give its start, sequence, software and state.")
	// AnnouncementNotAcknowledged is written when an announcement is not acknowledged.
	AnnouncementNotAcknowledged = define(907, log.WarnLevel, "announcement-not-acknowledged", "An announcement wasn't acknowledged, so that the server sends it to another replica; error says why.")
	// DocumentRead is written when an operator reads the document.
	DocumentRead = define(908, log.InfoLevel, "document-read", "An operator read the document in force; error says why it couldn't be confirmed.")
	// DocumentShown is written when a replica has applied another document and offers it to the processes that poll it.
	DocumentShown = define(909, log.InfoLevel, "document-shown", "The replica offers the document with the given number to entries; routes, chunks and bytes give its size.")
	// AttemptRouted is written for each attempt at a backend server.
	AttemptRouted = define(910, log.InfoLevel, "attempt-routed", "A request is sent to the named server; the fields give the inputs of the choice, the version of the server's software and, for a stream that continues, after which event and which attempt the caller names as its first.")
	// RequestEnded is written when a caller has its final answer.
	RequestEnded = define(911, log.InfoLevel, "request-ended", "A request has ended; the fields give status, attempts, verdict and time, cut whether the caller's connection was closed without a complete answer, silent-ms how long the server of the last failed attempt had sent nothing, framing what ends the body of the last response of a server, protocol the caller's version of HTTP, events how many events the caller got, and last-event the number of the last one that has a number.")
	// AttemptFailed is written when an attempt at a server gave no answer that can be forwarded.
	AttemptFailed = define(912, log.InfoLevel, "attempt-failed", "An attempt at a server failed; the fields give the verdict, the reason, the time since the request arrived, and how long the server had sent nothing.")
	// HandlerPanicked is written when a defect ended the handling of a request.
	HandlerPanicked = define(913, log.ErrorLevel, "handler-panicked", "A defect ended the handling of a request; the fields give the request, the cause and the stack.")
	// DocumentNotFetched is written when chunks of a document could not be fetched from the replica that offers it.
	DocumentNotFetched = define(914, log.WarnLevel, "document-not-fetched", "Chunks of a document were not received from the named replica; the missing ones are requested from another replica.")
	// RowTooLarge is written when a replica has a row that is larger than an answer to a poll should be.
	RowTooLarge = define(915, log.WarnLevel, "row-too-large", "A row is larger than one answer to a poll should be; polls may time out before it is transferred.")
	// RelayChosen is written when an entry changes its relay.
	RelayChosen = define(916, log.InfoLevel, "relay-chosen", "The entry exchanges hints on engines with another replica than before; relay is empty when none answers.")
	// LimitNamed is written when a server announces a first limit, a different one, or no limit any more.
	LimitNamed = define(918, log.InfoLevel, "limit-named", "A backend server announced the number of requests per second that it accepts from all entries together: a first number, a different one, or no limit any more (zero); entries says how many entries share it.")
	// ColdServerLimited is written when an entry begins or ends to limit its requests to a cold server.
	ColdServerLimited = define(924, log.InfoLevel, "cold-server-limited", "The entry limits its requests to a server that may be cold, or does so no longer; most is the number of requests that all entries may send to it in a second, entries how many share it.")
	// ServerBrittle is written when an entry begins or ends to limit its requests to a brittle server.
	ServerBrittle = define(928, log.InfoLevel, "server-brittle", "A backend server falls over when it has to reject more than tolerated requests in a second, so that the entry limits its requests to it by its load; or it is brittle no longer (tolerated is zero). Entries says how many entries send to it.")
	// StreamOrigin is written when a caller resumes a stream.
	StreamOrigin = define(929, log.InfoLevel, "stream-origin", "A caller resumes a stream; the fields give the attempt that it names as the first, the software that began it and how that was found: known (recorded by the entry that sent the first event), inferred (all servers of the service have the same), unknown, or unanswered (some control replicas gave no answer).")
	// QuarantineChanged is written by an entry when a request is quarantined or cleared.
	QuarantineChanged = define(925, log.WarnLevel, "quarantine-changed", "A request that crashes servers, or a part of prompts that does, is quarantined or cleared; refuted says that this entry knows answers that speak against it, since-ms is the time since the first loss, delay-ms how long others have to refute it, own-losses how many runs this entry goes by alone while the control log takes no reports.")
	// ConnectionsRefused is written by an entry, at most once a second, while it refuses connections of callers.
	ConnectionsRefused = define(933, log.WarnLevel, "connections-refused", "New connections of clients were closed unread, because the process gets too little processor time or has as many at that listener as it may have; the fields count them since the last such line.")
	// MessageRejected is written by a control process, at most once a second, while it rejects messages.
	MessageRejected = define(934, log.WarnLevel, "message-rejected", "A message of a server or an operator was rejected for good, because a name, an address or a number in it can't be used; count says how many since the last such line, sender and error describe the last one.")
	// SoftwareRecorded is written when a replica has proposed to record a version of servers' software.
	SoftwareRecorded = define(936, log.InfoLevel, "software-recorded", "A version of the software of a service's servers was recorded in the control log, or removed because no server has had it for long; error says why it wasn't.")
	// AnswerUnreadable is written when a process can't read what a control replica answers.
	AnswerUnreadable = define(935, log.ErrorLevel, "answer-unreadable", "A control replica answers polls, but its answers, or the given number of rows in them, can't be read; the process goes by what the other replicas and the readable rows say.")
	// LeaderNotFound is written once when a replica searches for the leader without success.
	LeaderNotFound = define(917, log.WarnLevel, "leader-not-found", "A replica without contact to a leader asked the others for it without success, and remains without a vote if it has none; asked counts the replicas that it knows.")
	// WeightsOrdered is written for each order to an engine.
	WeightsOrdered = define(930, log.InfoLevel, "weights-ordered", "An engine was ordered to load weights; the fields give the fencing number, the expected sequence and the outcome.")
	// EngineNotAsked is written when an engine can't be asked which weights it has.
	EngineNotAsked = define(931, log.WarnLevel, "engine-not-asked", "An engine could not be asked which weights it has; it is asked again a second later, after the others.")
	// LeaseHeld is written when this replica acquires or loses the lease for orders.
	LeaseHeld = define(932, log.InfoLevel, "lease-held", "This replica holds the lease for orders, or no longer does; the fields give the fencing number and the reason.")
	// StoreListed is written when the whole content of a store was read.
	StoreListed = define(940, log.InfoLevel, "store-listed", "The whole content of a store was read, because it was not known or changes were lost.")
	// StoreLost is written when a store stops answering, or answers again.
	StoreLost = define(941, log.WarnLevel, "store-lost", "A store does not answer, or answers again; nothing is fetched from one that does not.")
	// PartsFreed is written when parts were freed at a store.
	PartsFreed = define(942, log.InfoLevel, "parts-freed", "Parts were freed at a store: they belong to older weights, or space was needed.")
	// LinesDropped is written when log lines were dropped because the output was slow or there were too many lines.
	LinesDropped = define(920, log.WarnLevel, "lines-dropped", "Log lines were dropped because they came faster than they could be written; count says how many.")
	// LibraryWrote is written when a library prints a line of its own.
	LibraryWrote = define(922, log.WarnLevel, "library-wrote", "A library printed a line; the field text holds it.")
	// SettingsReloaded is written when the settings file has changed.
	SettingsReloaded = define(921, log.InfoLevel, "settings-reloaded", "The settings file was reloaded; error says why the previous settings stay in effect.")
	// ServerCutOff is written when a server is reached through other entries only.
	ServerCutOff = define(926, log.WarnLevel, "server-cut-off", "The entry can't connect to a backend server, but another entry can; requests go through other entries.")
	// ServerRegained is written when a server is reached directly again.
	ServerRegained = define(927, log.InfoLevel, "server-regained", "The entry connects to a backend server directly again.")
)
