package origin

import (
	"context"
	"errors"
	"net"
	"testing"

	"github.com/VictoriaMetrics/metrics"

	"hornbeamwood/internal/node/keys"
	"hornbeamwood/internal/node/rpc"
)

// softwareReplica starts a replica that answers with these versions, or fails without any.
func softwareReplica(t *testing.T, versions ...string) Replica {
	t.Helper()
	probe, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listen := probe.LocalAddr().String()
	_ = probe.Close()
	ring, err := keys.NewOpenRing(listen, keys.Control)
	if err != nil {
		t.Fatal(err)
	}
	n, err := rpc.New(rpc.Config{Listen: listen, Ring: ring})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = n.Close() })
	Serve(n, NewStore(), func(context.Context, string) ([]string, error) {
		if versions == nil {
			return nil, errors.New("this replica is cut off")
		}
		return versions, nil
	})
	go func() { _ = n.Serve(t.Context()) }()
	return Replica{Address: listen}
}

// Guards against an entry that is out of step and takes the only version that it knows for the only one there is.
func TestOnlySoftwareIsConfirmed(t *testing.T) {
	cutOff, none, one, two := softwareReplica(t), softwareReplica(t, []string{}...), softwareReplica(t, "v1"), softwareReplica(t, "v1", "v2")
	silent := Replica{Address: lostAddress(t), Silent: true}
	for name, c := range map[string]struct {
		replicas []Replica
		want     string
	}{
		"one version":                      {[]Replica{one}, "v1"},
		"one version, and a replica fails": {[]Replica{one, cutOff, silent}, "v1"},
		"two versions":                     {[]Replica{two}, ""},
		"no version":                       {[]Replica{none}, ""},
		"cut off":                          {[]Replica{cutOff, cutOff}, ""},
		"silent":                           {[]Replica{silent}, ""},
		"no replica":                       {nil, ""},
	} {
		client, _ := newNode(t, keys.Entry)
		o := New(Config{Node: client, Replicas: func() []Replica { return c.replicas }, Metrics: metrics.NewSet()})
		version, ok := o.OnlySoftware(t.Context(), "s")
		if ok != (c.want != "") || ok && version != c.want {
			t.Errorf("%s: %q, %v", name, version, ok)
		}
	}
}
