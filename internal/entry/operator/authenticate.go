package operator

import (
	"net/http"
	"strings"

	"github.com/apex/log"

	"hornbeamwood/internal/base/event"
	"hornbeamwood/internal/base/verdict"
	"hornbeamwood/internal/settings/digest"
	"hornbeamwood/internal/settings/section"
)

// authenticate returns the name of the operator whose key the request carries.
func (h *handler) authenticate(r *http.Request) (string, error) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if ok && key != "" {
		if name, ok := h.operatorByKey(digest.Of(key)); ok {
			return name, nil
		}
	}
	event.OperatorRefused.Write(h.Logger, log.Fields{"remote": r.RemoteAddr, "method": r.Method, "path": r.URL.Path})
	return "", verdict.New(verdict.NotRun, http.StatusUnauthorized, "no-operator", "an operator's key is required as Authorization: Bearer")
}

// operatorByKey compares d with all digests, so that the response time reveals nothing about them.
func (h *handler) operatorByKey(d digest.Digest) (string, bool) {
	operators := h.Settings.View().Rules.Operators
	found := ""
	for name, keys := range operators {
		for _, k := range keys {
			if d.Equal(k) {
				found = name
			}
		}
	}
	if found != "" {
		return found, true
	}
	return section.BootstrapOperator, len(operators) == 0 && h.BootstrapKeyDigest.Equal(d)
}
