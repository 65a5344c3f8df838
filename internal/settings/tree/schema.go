package tree

import (
	"strings"
	"time"

	"hornbeamwood/internal/settings/rules"
)

var (
	ruleKinds      = []Kind{Root, Workspace, WorkspaceModel, WorkspaceService}
	modelRuleKinds = []Kind{Root, Workspace, WorkspaceModel}
	modelKinds     = []Kind{Root, Model}
	fleetKinds     = []Kind{Fleet}
)

// schema lists all settings, grouped by the code that uses them.
var schema = []Setting{
	{
		Name: "priority", Default: IntValue(0), Min: IntValue(-100), Max: IntValue(100), Kinds: ruleKinds,
		Meaning: "The order of requests at entries and engines; higher goes first.",
		rule:    func(r *rules.Rules, v Value) { r.Priority = int(v.Number) },
	},
	{
		Name: "deadline", Default: DurationValue(30 * time.Second), Min: DurationValue(10 * time.Millisecond), Max: DurationValue(24 * time.Hour), Kinds: ruleKinds,
		Meaning: "How long a caller waits for the first token or the answer; what cannot make it is refused at once.",
		rule:    func(r *rules.Rules, v Value) { r.Deadline = v.Duration() },
	},
	{
		Name: "worth", Default: FloatValue(1), Min: FloatValue(0), Max: FloatValue(1e6), Kinds: ruleKinds,
		Meaning: "The weight of one answered request when not all can be served.",
		rule:    func(r *rules.Rules, v Value) { r.Worth = v.Float },
	},
	{
		Name: "share", Default: FloatValue(1), Min: FloatValue(0.001), Max: FloatValue(1e6), Kinds: ruleKinds,
		Meaning: "The workspace's weight in fair queueing.",
		rule:    func(r *rules.Rules, v Value) { r.Share = v.Float },
	},
	{
		Name: "first-token-price", Default: FloatValue(1), Unit: "per second", Min: FloatValue(0), Max: FloatValue(1e6), Kinds: ruleKinds,
		Meaning: "The price of one second until the first token.",
		rule:    func(r *rules.Rules, v Value) { r.FirstTokenPrice = v.Float },
	},
	{
		Name: "recompute-price", Default: FloatValue(0.05), Unit: "per 1,000 tokens", Min: FloatValue(0), Max: FloatValue(1e6), Kinds: modelRuleKinds,
		Meaning: "The price of one thousand prompt tokens that are computed again.",
		rule:    func(r *rules.Rules, v Value) { r.RecomputePrice = v.Float },
	},
	{
		Name: "link-price", Default: FloatValue(0.1), Unit: "per second", Min: FloatValue(0), Max: FloatValue(1e6), Kinds: modelRuleKinds,
		Meaning: "The price of one second of a store's link.",
		rule:    func(r *rules.Rules, v Value) { r.LinkPrice = v.Float },
	},
	{
		Name: "retry-share", Default: FloatValue(0.1), Min: FloatValue(0), Max: FloatValue(1), Kinds: ruleKinds,
		Meaning: "The share of the workspace's requests that may be tried a second time.",
		rule:    func(r *rules.Rules, v Value) { r.RetryShare = v.Float },
	},
	{
		Name: "max-body", Default: IntValue(8 << 20), Unit: "bytes", Min: IntValue(1 << 10), Max: IntValue(256 << 20), Kinds: ruleKinds,
		Meaning: "The largest request body.",
		rule:    func(r *rules.Rules, v Value) { r.MaxBody = v.Number },
	},
	{
		Name: "max-in-flight", Default: IntValue(256), Unit: "requests", Min: IntValue(1), Max: IntValue(100_000), Kinds: ruleKinds,
		Meaning: "The largest number of the workspace's requests that run at one entry.",
		rule:    func(r *rules.Rules, v Value) { r.MaxInFlight = int(v.Number) },
	},
	{
		Name: "cache-export", Default: BoolValue(true), Kinds: modelRuleKinds,
		Meaning: "Whether prefixes are written to stores.",
		rule:    func(r *rules.Rules, v Value) { r.CacheExport = v.Bool() },
	},
	{
		Name: "non-idempotent", Default: BoolValue(false), Kinds: []Kind{Service},
		Meaning: "Marks a service whose calls must run at most once; no workspace can take the mark off.",
		rule:    func(r *rules.Rules, v Value) { r.NonIdempotent = v.Bool() },
	},
	{
		Name: "ledger-keep", Default: DurationValue(7 * 24 * time.Hour), Min: DurationValue(time.Hour), Max: DurationValue(366 * 24 * time.Hour), Kinds: []Kind{Root, Service},
		Meaning: "How long the outcome of a non-idempotent call is kept.",
		rule:    func(r *rules.Rules, v Value) { r.LedgerKeep = v.Duration() },
	},
	{
		Name: "weight-version", Default: TextValue(""), Kinds: []Kind{Model},
		Meaning: "The weight version that new requests use; required.",
		model:   func(m *rules.Model, v Value) { m.WeightVersion = v.Text },
	},
	{
		Name: "piece-tokens", Default: IntValue(4096), Unit: "tokens", Min: IntValue(16), Max: IntValue(1 << 20), Kinds: modelKinds,
		Meaning: "The number of prompt tokens in one cache piece; at most context-tokens.",
		model:   func(m *rules.Model, v Value) { m.PieceTokens = int(v.Number) },
	},
	{
		Name: "context-tokens", Default: IntValue(131_072), Unit: "tokens", Min: IntValue(16), Max: IntValue(1 << 24), Kinds: modelKinds,
		Meaning: "The longest prompt and answer together.",
		model:   func(m *rules.Model, v Value) { m.ContextTokens = int(v.Number) },
	},
	{
		Name: "region", Default: TextValue(""), Kinds: []Kind{Root, Workspace},
		Meaning:   "The region where the workspace's non-idempotent calls are claimed; required of a workspace that has one.",
		workspace: func(w *rules.Workspace, v Value) { w.Region = v.Text },
	},
	{
		Name: "key-digests", Default: DigestsValue(), Kinds: []Kind{Workspace, Operator},
		Meaning:   "The SHA-256 digests of the keys of the workspace's callers, or of the operator.",
		workspace: func(w *rules.Workspace, v Value) { w.KeyDigests = digestArrays(v.Digests) },
		operator:  func(o *[][32]byte, v Value) { *o = digestArrays(v.Digests) },
	},
	{
		Name: "settings-lease", Default: DurationValue(4 * time.Second), Min: DurationValue(2 * time.Second), Max: DurationValue(15 * time.Second), Kinds: fleetKinds,
		Meaning: "How long an entry takes new work after its last proof that its settings are in force.",
		fleet:   func(f *rules.Fleet, v Value) { f.SettingsLease = v.Duration() },
	},
	{
		Name: "serve-without-quorum", Default: BoolValue(false), Kinds: fleetKinds,
		Meaning: "Lets entries serve on under their last settings when no quorum answers; an edit may then not be in force everywhere.",
		fleet:   func(f *rules.Fleet, v Value) { f.ServeWithoutQuorum = v.Bool() },
	},
	{
		Name: "announcement-age", Default: DurationValue(2500 * time.Millisecond), Min: DurationValue(500 * time.Millisecond), Max: DurationValue(3 * time.Second), Kinds: fleetKinds,
		Meaning: "The age of a backend server's last announcement after which it gets no new work.",
		fleet:   func(f *rules.Fleet, v Value) { f.AnnouncementAge = v.Duration() },
	},
	{
		Name: "weight-loads", Default: IntValue(2), Min: IntValue(1), Max: IntValue(1000), Kinds: fleetKinds,
		Meaning: "The largest number of weight loads at once.",
		fleet:   func(f *rules.Fleet, v Value) { f.WeightLoads = int(v.Number) },
	},
	{
		Name: "order-lease", Default: DurationValue(5 * time.Second), Min: DurationValue(time.Second), Max: DurationValue(5 * time.Minute), Kinds: fleetKinds,
		Meaning: "The lease of the one who gives orders to backend servers.",
		fleet:   func(f *rules.Fleet, v Value) { f.OrderLease = v.Duration() },
	},
	{
		Name: "fleet-retry-share", Default: FloatValue(0.1), Min: FloatValue(0), Max: FloatValue(1), Kinds: fleetKinds,
		Meaning: "The share of all requests that may be tried a second time.",
		fleet:   func(f *rules.Fleet, v Value) { f.RetryShare = v.Float },
	},
	{
		Name: "quarantine-servers", Default: IntValue(2), Min: IntValue(2), Max: IntValue(100), Kinds: fleetKinds,
		Meaning: "The number of different backend servers lost under one fingerprint that quarantines it.",
		fleet:   func(f *rules.Fleet, v Value) { f.QuarantineServers = int(v.Number) },
	},
	{
		Name: "quarantine-window", Default: DurationValue(10 * time.Minute), Min: DurationValue(time.Second), Max: DurationValue(24 * time.Hour), Kinds: fleetKinds,
		Meaning: "The time within which those losses count.",
		fleet:   func(f *rules.Fleet, v Value) { f.QuarantineWindow = v.Duration() },
	},
	{
		Name: "admitted-replicas", Default: TextValue(""), Kinds: fleetKinds,
		Meaning: "The identities, separated by spaces, of control replicas that come in place of the members of the same name; for VMs that lost their disk.",
		fleet:   func(f *rules.Fleet, v Value) { f.AdmittedReplicas = strings.Fields(v.Text) },
	},
	{
		Name: rules.EvacuatedZonesSetting, Default: TextValue(""), Kinds: fleetKinds,
		Meaning: "The availability zones, separated by spaces, whose backend servers get no new requests.",
		fleet:   func(f *rules.Fleet, v Value) { f.EvacuatedZones = strings.Fields(v.Text) },
	},
	{
		Name: "announce-key-digests", Default: DigestsValue(), Kinds: fleetKinds,
		Meaning: "The SHA-256 digests of the keys with which backend servers announce themselves.",
		fleet:   func(f *rules.Fleet, v Value) { f.AnnounceKeyDigests = digestArrays(v.Digests) },
	},
}

var byName = index(schema)

func index(all []Setting) map[string]Setting {
	m := make(map[string]Setting, len(all))
	for _, s := range all {
		m[s.Name] = s
	}
	return m
}
