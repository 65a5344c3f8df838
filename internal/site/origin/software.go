package origin

import (
	"context"
	"math/rand/v2"
	"slices"

	"hornbeamwood/internal/node/rpc"
)

// softwareAsked is how many replicas are asked for the software of a service at once.
const softwareAsked = 2

// OnlySoftware implements Origins.
func (o *origins) OnlySoftware(ctx context.Context, service string) (string, bool) {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	live := slices.DeleteFunc(o.Replicas(), func(r Replica) bool { return r.Silent })
	rand.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	live = live[:min(len(live), softwareAsked)]
	answers := make(chan []string, len(live))
	for _, r := range live {
		go func() {
			versions, err := rpc.Call(ctx, o.Node, r.Address, softwareMethod, service)
			if err != nil {
				versions = nil
			}
			answers <- versions
		}()
	}
	for range live {
		if versions := <-answers; len(versions) > 0 {
			return versions[0], len(versions) == 1
		}
	}
	return "", false
}
