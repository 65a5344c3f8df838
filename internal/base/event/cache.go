package event

import "github.com/apex/log"

// Events of the cache, 700 to 799.
var (
	// ListingWanted is written when events of an engine were lost.
	ListingWanted = define(700, log.InfoLevel, "listing-wanted", "Cache events of an engine were lost; the content of its memory counts as unknown until its listing arrives.")
	// CacheVoided is written when an engine or a store has restarted.
	CacheVoided = define(701, log.InfoLevel, "cache-voided", "An engine or a store has restarted; the recorded state of its pieces is discarded.")
	// ExportPlanned is written when an engine is instructed to write pieces to a store.
	ExportPlanned = define(702, log.InfoLevel, "export-planned", "An engine was instructed to write pieces to a store; the fields name the pieces, the store and the reason.")
	// ExportEnded is written with the outcome of an export.
	ExportEnded = define(703, log.InfoLevel, "export-ended", "An export has ended; the fields count the pieces by outcome.")
	// PieceFreed is written when a piece is deleted at its store.
	PieceFreed = define(704, log.DebugLevel, "piece-freed", "A piece was deleted at its store after its last reader.")
)
