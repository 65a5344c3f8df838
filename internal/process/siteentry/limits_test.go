package siteentry

import (
	"testing"

	"hornbeamwood/internal/serve/share"
	"hornbeamwood/internal/site/parts"
)

// Guards against connections that are kept for ever while no document sets timeouts.
func TestConnectionsAreBoundedWithoutADocument(t *testing.T) {
	p := &process{site: newSite(nil, parts.NewResidency(), share.NewPeerLoads("e"), func() {})}
	if l := p.callerLimits(); l.HeaderBytes != defaultHeaderBytes || l.HeaderTimeout != defaultHeaderTimeout || l.IdleTimeout != defaultIdleTimeout {
		t.Errorf("the limits are %+v", l)
	}
}
