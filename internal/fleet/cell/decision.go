package cell

import "time"

// MaxAge is the age of a digest above which no prompt is handed over to its cell.
const MaxAge = 10 * time.Second

// Reason is the reason why a prompt is served here or handed over.
type Reason string

const (
	// AtHome means that this cell is the prompt's home.
	AtHome Reason = "at-home"
	// NoHome means that the prompt has no full piece, so that none of it is cached anywhere.
	NoHome Reason = "no-home"
	// HandedOver means that another cell handed the prompt over; it is not handed over again.
	HandedOver Reason = "handed-over"
	// HomeUnknown means that there is no recent digest of the home cell.
	HomeUnknown Reason = "home-unknown"
	// HomeLacksModel means that no engine of the home cell serves the model's weight version.
	HomeLacksModel Reason = "home-lacks-model"
	// HomeSlower means that the queue of the home cell costs more time than its cache saves.
	HomeSlower Reason = "home-slower"
	// HereLacksModel means that no engine of this cell serves the model's weight version.
	HereLacksModel Reason = "here-lacks-model"
	// CacheAtHome means that the home cell is faster because of its cache.
	CacheAtHome Reason = "cache-at-home"
)

// Input is the input of a hand-over decision.
type Input struct {
	// LocalCell is the name of this cell. HomeCell is the name of the home cell; it is empty for a
	// prompt without a full piece.
	LocalCell string
	HomeCell  string
	// HandedOver reports that the prompt was handed over by another cell.
	HandedOver bool
	// Model and WeightVersion are the model and weight version that must serve the prompt.
	Model         string
	WeightVersion string
	// PromptTokens is the length of the prompt.
	PromptTokens int64
	// HitRatio is the measured share, from 0 to 1, of the tokens of returning prompts that the
	// cache of a home cell saves from recomputing.
	HitRatio float64
	// RoundTrip is the round-trip time to the home cell.
	RoundTrip time.Duration
	// Local is this cell's digest.
	Local Digest
	// Remote is the digest of the home cell and RemoteAge its age; RemoteKnown reports whether
	// there is one.
	Remote      Digest
	RemoteAge   time.Duration
	RemoteKnown bool
}

// Decision is whether a prompt is handed over and the reason.
type Decision struct {
	// HandOver reports that the prompt is handed over to the home cell.
	HandOver bool
	// Reason is the reason for the decision.
	Reason Reason
}

// Decide returns where the prompt is served.
func Decide(in Input) Decision {
	switch {
	case in.HomeCell == "":
		return Decision{Reason: NoHome}
	case in.HomeCell == in.LocalCell:
		return Decision{Reason: AtHome}
	case in.HandedOver:
		return Decision{Reason: HandedOver}
	case !in.RemoteKnown || in.RemoteAge > MaxAge:
		return Decision{Reason: HomeUnknown}
	}
	home, ok := in.Remote.model(in.Model, in.WeightVersion)
	if !ok {
		return Decision{Reason: HomeLacksModel}
	}
	here, ok := in.Local.model(in.Model, in.WeightVersion)
	if !ok {
		return Decision{HandOver: true, Reason: HereLacksModel}
	}
	if home.Wait()+in.RoundTrip >= here.Wait()+savedPrefill(in, home) {
		return Decision{Reason: HomeSlower}
	}
	return Decision{HandOver: true, Reason: CacheAtHome}
}

// savedPrefill returns the prefill time that the cache of the home cell saves.
func savedPrefill(in Input, m ModelDigest) time.Duration {
	if m.PrefillRate <= 0 || m.Engines <= 0 {
		return 0
	}
	rate := float64(m.PrefillRate) / float64(m.Engines)
	return time.Duration(in.HitRatio * float64(in.PromptTokens) / rate * float64(time.Second))
}
