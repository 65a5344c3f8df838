package caller

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"hornbeamwood/internal/base/check"
	"hornbeamwood/internal/base/verdict"
	"hornbeamwood/internal/control/ledger"
	"hornbeamwood/internal/entry/service"
	"hornbeamwood/internal/settings/rules"
)

// service serves one call of a plain service.
func (h *handler) service(x *exchange) {
	answer, err := x.callService()
	if err != nil {
		x.refuse(err)
		return
	}
	header := x.writer.Header()
	for n, v := range answer.Header {
		header[n] = v
	}
	header.Set(verdict.Header, answer.Verdict.String())
	if x.request.Method != http.MethodHead {
		header.Set("Content-Length", strconv.Itoa(len(answer.Body)))
	}
	if answer.Repeated {
		header.Set("Hornbeamwood-Repeated", "true")
	}
	x.extendWrite()
	x.charge(len(answer.Body))
	x.writer.WriteHeader(answer.Status)
	if x.request.Method != http.MethodHead {
		_, _ = x.writer.Write(answer.Body)
	}
	x.served(answer.Status)
}

func (x *exchange) callService() (service.Answer, error) {
	name := x.request.PathValue("service")
	r, ok := x.workspace.Services[name]
	if _, known := x.snapshot.Services[name]; !ok || !known {
		return service.Answer{}, unknownService()
	}
	if err := checkKey(x.request.Header, r); err != nil {
		return service.Answer{}, err
	}
	done, err := x.enter(r)
	if err != nil {
		return service.Answer{}, err
	}
	defer done()
	body, err := x.body(maxBody(r))
	if err != nil {
		return service.Answer{}, err
	}
	return x.handler.Services.Call(x.request.Context(), service.Request{
		ID:        x.id,
		Workspace: x.workspace.Name,
		Service:   name,
		Method:    x.request.Method,
		Path:      servicePath(x.request, name),
		Key:       x.request.Header.Get(HeaderKey),
		Header:    x.request.Header,
		Body:      body,
		Rules:     r,
	})
}

// checkKey refuses a non-idempotent call without a valid Idempotency-Key.
func checkKey(h http.Header, r rules.Rules) error {
	keys := h.Values(HeaderKey)
	if len(keys) == 0 && !r.NonIdempotent {
		return nil
	}
	err := fmt.Errorf("%d values", len(keys))
	if len(keys) == 1 {
		err = check.Name(HeaderKey, keys[0], ledger.MaxKey)
	}
	if err == nil {
		return nil
	}
	return verdict.New(verdict.NotRun, http.StatusBadRequest, "idempotency-key-required",
		"the service runs each call at most once and needs one Idempotency-Key of 1 to %d bytes: %v", ledger.MaxKey, err)
}

// servicePath returns the path for the service with the query; both keep the caller's escaping.
func servicePath(r *http.Request, name string) string {
	path := strings.TrimPrefix(r.URL.EscapedPath(), servicesPrefix)
	if _, rest, ok := strings.Cut(path, "/"); ok {
		path = "/" + rest
	}
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return path
}

func maxBody(r rules.Rules) int64 {
	if r.MaxBody > 0 {
		return r.MaxBody
	}
	return defaultMaxBody
}
