package cell

import "time"

// MaxAge is the age of a digest after which nothing is handed over to its cell.
const MaxAge = 10 * time.Second

// Reason says why a prompt is served here or handed over.
type Reason string

const (
	// AtHome means that this cell is the prompt's home.
	AtHome Reason = "at-home"
	// NoHome means that the prompt has no full piece, so nothing of it is cached anywhere.
	NoHome Reason = "no-home"
	// HandedOver means that another cell handed the prompt over; it is not passed on again.
	HandedOver Reason = "handed-over"
	// HomeUnknown means that nothing new is known of the home cell.
	HomeUnknown Reason = "home-unknown"
	// HomeLacksModel means that no engine of the home cell serves the model's weight version.
	HomeLacksModel Reason = "home-lacks-model"
	// HomeSlower means that the home cell's queue costs more than its cache saves.
	HomeSlower Reason = "home-slower"
	// HereLacksModel means that no engine of this cell serves the model's weight version.
	HereLacksModel Reason = "here-lacks-model"
	// CacheAtHome means that the home cell is quicker by its cache.
	CacheAtHome Reason = "cache-at-home"
)

// Input is what a hand-over decision needs.
type Input struct {
	// Here and Home name the cells; Home is empty for a prompt without a full piece.
	Here string
	Home string
	// HandedOver says that the prompt came from another cell.
	HandedOver bool
	// Model and WeightVersion say what must serve the prompt.
	Model         string
	WeightVersion string
	// PromptTokens is the length of the prompt.
	PromptTokens int64
	// HitShare is the share of returning prompt tokens that a home cell spares, from 0 to 1, as was measured.
	HitShare float64
	// Hop is the time of the way to the home cell and back.
	Hop time.Duration
	// Local is this cell's digest.
	Local Digest
	// Remote is the home cell's digest, RemoteAge its age; RemoteKnown says that there is one.
	Remote      Digest
	RemoteAge   time.Duration
	RemoteKnown bool
}

// Decision says where a prompt is served.
type Decision struct {
	// HandOver says that it goes to the home cell.
	HandOver bool
	// Reason says why.
	Reason Reason
}

// Decide returns where the prompt is served.
func Decide(in Input) Decision {
	switch {
	case in.Home == "":
		return Decision{Reason: NoHome}
	case in.Home == in.Here:
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
	if home.Wait()+in.Hop >= here.Wait()+saved(in, home) {
		return Decision{Reason: HomeSlower}
	}
	return Decision{HandOver: true, Reason: CacheAtHome}
}

// saved returns the prefill time that the home cell's cache spares.
func saved(in Input, m ModelDigest) time.Duration {
	if m.PrefillRate <= 0 || m.Engines <= 0 {
		return 0
	}
	rate := float64(m.PrefillRate) / float64(m.Engines)
	return time.Duration(in.HitShare * float64(in.PromptTokens) / rate * float64(time.Second))
}
