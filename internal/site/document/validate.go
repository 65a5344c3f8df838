package document

import (
	"errors"
	"fmt"
)

// ErrInvalid is wrapped by every error of Document.Validate.
var ErrInvalid = errors.New("the document is invalid")

// Validate returns an error that wraps ErrInvalid if the document can't be activated.
func (d Document) Validate() error {
	return errors.Join(d.checkServices(), d.checkRoutes(), d.checkKeys())
}

func invalid(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrInvalid, fmt.Sprintf(format, args...))
}

func (d Document) checkServices() error {
	seen := map[string]bool{}
	for _, s := range d.Services {
		if s.Name == "" || seen[s.Name] {
			return invalid("service %q stands twice or has no name", s.Name)
		}
		seen[s.Name] = true
	}
	return nil
}

func (d Document) checkRoutes() error {
	services := map[string]bool{}
	for _, s := range d.Services {
		services[s.Name] = true
	}
	type hostPrefix struct{ host, prefix string }
	routesByPrefix := map[hostPrefix]string{}
	for _, r := range d.Routes {
		if err := r.check(services); err != nil {
			return err
		}
		key := hostPrefix{host: foldHost(r.Host), prefix: r.Prefix}
		if other, ok := routesByPrefix[key]; ok {
			return invalid("routes %s and %s share host %s and prefix %s", other, r.Name, r.Host, r.Prefix)
		}
		routesByPrefix[key] = r.Name
	}
	return nil
}

func (r Route) check(services map[string]bool) error {
	switch {
	case r.Prefix == "" || r.Prefix[0] != '/' || r.Prefix[len(r.Prefix)-1] != '/':
		return invalid("route %s: prefix %q does not begin and end with a slash", r.Name, r.Prefix)
	case r.Timeout <= 0:
		return invalid("route %s has no timeout", r.Name)
	case r.Kind != Idempotent && r.Kind != NonIdempotent && r.Kind != Streaming:
		return invalid("route %s: kind %q is unknown", r.Name, r.Kind)
	}
	for _, s := range r.Shares {
		if !services[s.Service] {
			return invalid("route %s names the unknown service %q", r.Name, s.Service)
		}
		if s.Weight < 0 {
			return invalid("route %s: the weight of %s is negative", r.Name, s.Service)
		}
	}
	if _, sum := r.weights(); sum <= 0 {
		return invalid("route %s: the weights add up to 0", r.Name)
	}
	return nil
}

func (d Document) checkKeys() error {
	workspaces := map[string]string{}
	for _, w := range d.Workspaces {
		for _, k := range w.Keys {
			if other, ok := workspaces[k]; ok && other != w.Name {
				return invalid("workspaces %s and %s share a key", other, w.Name)
			}
			workspaces[k] = w.Name
		}
	}
	return nil
}
