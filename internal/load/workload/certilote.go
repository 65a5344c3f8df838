package workload

import (
	"time"

	"hornbeamwood/internal/settings/rules"
)

// Request classes of Certilote.
const (
	// StatusRead asks the model for the state of a certificate, while a truck waits at the gate.
	StatusRead = "status-read"
	// IssueStamp calls the plain service that issues a certificate number, at most once.
	IssueStamp = "issue-stamp"
	// LotNote is a short check without urgency.
	LotNote = "lot-note-check"
	// Draft writes a certificate from a full dossier, without urgency.
	Draft = "draft"
)

// Certilote returns the deployment of Recubrimientos Andinos Franquicias.
func Certilote() Deployment {
	return Deployment{
		Name: "certilote", Servers: 9, Reserve: 4, Stores: 2, Entries: 6,
		ZoneDelay: 1500 * time.Microsecond, ClientDelay: time.Millisecond, PieceTokens: 4000,
		Workspaces: skewedWorkspaces([10]string{
			"bogota", "medellin", "cali", "tunja", "villavicencio",
			"pasto", "neiva", "ibague", "popayan", "leticia",
		}),
		Classes: []Class{
			{
				Name: StatusRead, RequestShare: 0.55, Tail: Span{200, 600}, Answer: Span{20, 60},
				Rules: rules.Rules{
					Priority: 7, Deadline: 2 * time.Second, Worth: 5,
					FirstTokenPrice: 20, RecomputePrice: 0.02, LinkPrice: 0.5,
				},
			},
			{
				Name: IssueStamp, RequestShare: 0.10, Service: "issue-stamps", ServiceTime: 20 * time.Millisecond,
				Rules: rules.Rules{
					Priority: 7, Deadline: 5 * time.Second, Worth: 10,
					FirstTokenPrice: 20, NonIdempotent: true,
				},
			},
			{
				Name: LotNote, RequestShare: 0.23, Tail: Span{800, 2500}, Answer: Span{40, 100},
				Rules: rules.Rules{
					Priority: 4, Deadline: 30 * time.Second, Worth: 1,
					FirstTokenPrice: 2, RecomputePrice: 0.02, LinkPrice: 0.5,
				},
			},
			{
				Name: Draft, RequestShare: 0.12, Pieces: Span{5, 14}, Tail: Span{400, 1500}, Answer: Span{200, 500},
				ReturnProbability: 0.7, ReturnGap: [2]time.Duration{time.Minute, 6 * time.Minute},
				Rules: rules.Rules{
					Priority: 2, Deadline: 2 * time.Minute, Worth: 3,
					FirstTokenPrice: 1, RecomputePrice: 0.02, LinkPrice: 0.5, CacheExport: true,
				},
			},
		},
	}
}
