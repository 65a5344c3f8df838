package workload

import (
	"time"

	"hornbeamwood/internal/settings/rules"
)

// Request classes of the Association.
const (
	// LogbookCheck checks a notice against a long station logbook.
	LogbookCheck = "logbook-check"
	// ScheduleQuestion asks the model about a carrier schedule.
	ScheduleQuestion = "schedule-question"
	// ScheduleLookup reads a schedule from the plain service.
	ScheduleLookup = "schedule-lookup"
	// StationRecord records an outage report or a handover, at most once.
	StationRecord = "station-record"
)

// Association returns the deployment of the Korea Time Signal Broadcasters Association.
func Association() Deployment {
	return Deployment{
		Name: "association", Servers: 9, Reserve: 3, Stores: 2, Entries: 6,
		ZoneDelay: 500 * time.Microsecond, ClientDelay: 3 * time.Millisecond, PieceTokens: 4000,
		Workspaces: skewedWorkspaces([10]string{
			"daejeon", "sejong", "cheongju", "busan", "jeju",
			"ulsan", "suwon", "gunsan", "mokpo", "andong",
		}),
		Classes: []Class{
			{
				Name: LogbookCheck, RequestShare: 0.16, Pieces: Span{6, 16}, Tail: Span{300, 1200}, Answer: Span{200, 500},
				ReturnProbability: 0.75, ReturnGap: [2]time.Duration{time.Minute, 6 * time.Minute}, Growth: Span{0, 1},
				Rules: rules.Rules{
					Priority: 3, Deadline: time.Minute, Worth: 6,
					FirstTokenPrice: 0.3, RecomputePrice: 0.5, LinkPrice: 1, CacheExport: true,
				},
			},
			{
				Name: ScheduleQuestion, RequestShare: 0.50, Tail: Span{300, 1200}, Answer: Span{40, 120},
				Rules: rules.Rules{
					Priority: 5, Deadline: 10 * time.Second, Worth: 1,
					FirstTokenPrice: 2, RecomputePrice: 0.5, LinkPrice: 1,
				},
			},
			{
				Name: ScheduleLookup, RequestShare: 0.24, Service: "schedules", ServiceTime: 10 * time.Millisecond,
				Rules: rules.Rules{Priority: 6, Deadline: 5 * time.Second, Worth: 1, FirstTokenPrice: 2},
			},
			{
				Name: StationRecord, RequestShare: 0.10, Service: "station-records", ServiceTime: 20 * time.Millisecond,
				Rules: rules.Rules{
					Priority: 7, Deadline: 5 * time.Second, Worth: 8,
					FirstTokenPrice: 2, NonIdempotent: true,
				},
			},
		},
	}
}
