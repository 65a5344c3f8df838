package entry

import (
	"context"
	"testing"

	"hornbeamwood/internal/base/verdict"
	"hornbeamwood/internal/entry/service"
	"hornbeamwood/internal/entry/settings"
	"hornbeamwood/internal/policy/retry"
	"hornbeamwood/internal/settings/follower"
	"hornbeamwood/internal/settings/rules"
)

type fakeClient struct {
	service.Client
	calls int
}

func (f *fakeClient) Call(context.Context, service.Request) (service.Answer, error) {
	f.calls++
	return service.Answer{Status: 201}, nil
}

type fakeSettings struct {
	settings.LeasedSettings
	rules *rules.Snapshot
}

func (f fakeSettings) View() follower.View { return follower.View{Rules: f.rules} }

// Guards against a non-idempotent call running again in another region, whose ledger
// doesn't hold the claims of the home region. A resend of a stamp would put a second
// certificate number on the lot.
func TestCallsAreClaimedInTheWorkspacesRegion(t *testing.T) {
	f := &fakeClient{}
	s := fakeSettings{rules: &rules.Snapshot{Workspaces: map[string]rules.Workspace{"gate": {Name: "gate", Region: "andes-centro"}}}}
	stamp := service.Request{Workspace: "gate", Service: "stamp", Rules: rules.Rules{NonIdempotent: true}}
	away := calls{client: f, retries: retry.New(retry.Config{}), settings: s, region: "andes-norte"}
	if _, err := away.Call(context.Background(), stamp); verdict.Of(err) != verdict.MayHaveRun || f.calls != 0 {
		t.Errorf("another region: %v after %d calls", err, f.calls)
	}
	read := stamp
	read.Rules.NonIdempotent = false
	if _, err := away.Call(context.Background(), read); err != nil {
		t.Errorf("a read in another region: %v", err)
	}
	home := away
	home.region = "andes-centro"
	if _, err := home.Call(context.Background(), stamp); err != nil || f.calls != 2 {
		t.Errorf("the home region: %v after %d calls", err, f.calls)
	}
}
