package workload

import (
	"time"

	"hornbeamwood/internal/settings/rules"
)

// Classes of the Association.
const (
	// LogbookCheck checks a notice against a long station logbook.
	LogbookCheck = "logbook-check"
	// ScheduleQuestion asks the model about a carrier schedule.
	ScheduleQuestion = "schedule-question"
	// ScheduleLookup reads a schedule from the plain service.
	ScheduleLookup = "schedule-lookup"
	// StationRecord enters an outage report or hand-over, at most once.
	StationRecord = "station-record"
)

// Association returns the deployment of the Korea Time Signal Broadcasters Association.
func Association() Deployment {
	return Deployment{
		Name: "association", Servers: 9, Reserve: 3, Stores: 2, Entries: 6,
		ZoneDelay: 500 * time.Microsecond, ClientDelay: 3 * time.Millisecond, PieceTokens: 4000,
		Customers: fewLarge([10]string{
			"daejeon", "sejong", "cheongju", "busan", "jeju",
			"ulsan", "suwon", "gunsan", "mokpo", "andong",
		}),
		Classes: []Class{
			{
				Name: LogbookCheck, Share: 0.16, Pieces: Span{6, 16}, Tail: Span{300, 1200}, Answer: Span{200, 500},
				Return: 0.75, Gap: [2]time.Duration{time.Minute, 6 * time.Minute}, Growth: Span{0, 1},
				Rules: rules.Rules{
					Priority: 3, Deadline: time.Minute, Worth: 6,
					FirstTokenPrice: 0.3, RecomputePrice: 0.5, LinkPrice: 1, CacheExport: true,
				},
			},
			{
				Name: ScheduleQuestion, Share: 0.50, Tail: Span{300, 1200}, Answer: Span{40, 120},
				Rules: rules.Rules{
					Priority: 5, Deadline: 10 * time.Second, Worth: 1,
					FirstTokenPrice: 2, RecomputePrice: 0.5, LinkPrice: 1,
				},
			},
			{
				Name: ScheduleLookup, Share: 0.24, Service: "schedules", ServiceTime: 10 * time.Millisecond,
				Rules: rules.Rules{Priority: 6, Deadline: 5 * time.Second, Worth: 1, FirstTokenPrice: 2},
			},
			{
				Name: StationRecord, Share: 0.10, Service: "station-records", ServiceTime: 20 * time.Millisecond,
				Rules: rules.Rules{
					Priority: 7, Deadline: 5 * time.Second, Worth: 8,
					FirstTokenPrice: 2, NonIdempotent: true,
				},
			},
		},
	}
}
