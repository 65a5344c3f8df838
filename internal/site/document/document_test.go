package document

import (
	"errors"
	"math"
	"testing"
	"time"
)

func valid() Document {
	return Document{
		Revision: 3,
		Services: []Service{{Name: "a"}, {Name: "b"}},
		Routes: []Route{
			{Name: "wide", Host: "h", Prefix: "/x/", Kind: Idempotent, Timeout: time.Second, Shares: []Share{{"a", 1}}},
			{Name: "deep", Host: "h", Prefix: "/x/y/", Kind: Streaming, Timeout: time.Second, Shares: []Share{{"a", 90}, {"b", 10}}},
		},
		Workspaces: []Workspace{{Name: "w", Keys: []string{"k"}}},
	}
}

// Guards against activating a document with an unknown service or two routes with the same host
// and prefix: every request of such a route would be refused, or routed arbitrarily.
func TestInvalidDocuments(t *testing.T) {
	if err := valid().Validate(); err != nil {
		t.Fatal(err)
	}
	mutations := map[string]func(*Document){
		"unknown service": func(d *Document) { d.Routes[0].Shares[0].Service = "c" },
		"same prefix":     func(d *Document) { d.Routes[1].Prefix = "/x/" },
		"same host":       func(d *Document) { d.Routes[1].Host, d.Routes[1].Prefix = "H", "/x/" },
		"no weight":       func(d *Document) { d.Routes[1].Shares = []Share{{"a", 0}, {"b", 0}} },
		"no shares":       func(d *Document) { d.Routes[1].Shares = nil },
		"no timeout":      func(d *Document) { d.Routes[0].Timeout = 0 },
		"shared key":      func(d *Document) { d.Workspaces = append(d.Workspaces, Workspace{Name: "v", Keys: []string{"k"}}) },
		"unknown kind":    func(d *Document) { d.Routes[0].Kind = "other" },
		"bare prefix":     func(d *Document) { d.Routes[0].Prefix = "/x" },
	}
	for name, invalidate := range mutations {
		d := valid()
		invalidate(&d)
		if err := d.Validate(); !errors.Is(err, ErrInvalid) {
			t.Errorf("%s: got %v", name, err)
		}
	}
}

// Guards against a route that takes over another one of the same host, written in other case, and repeats its requests.
func TestRouteIsNotReplacedByOneInOtherCase(t *testing.T) {
	d := valid()
	d.Routes[0].Kind, d.Routes[0].Host = NonIdempotent, "Shop.Example"
	d.Routes = append(d.Routes, Route{Name: "late", Host: "shop.example", Prefix: "/x/", Kind: Idempotent, Timeout: time.Second, Shares: []Share{{"a", 1}}})
	if err := d.Validate(); !errors.Is(err, ErrInvalid) {
		t.Errorf("got %v", err)
	}
	d.Routes[2].Prefix = "/z/"
	if err := d.Validate(); err != nil {
		t.Errorf("other prefixes of one host, written in two ways: %v", err)
	}
	for _, host := range []string{"Shop.Example", "shop.example", "SHOP.EXAMPLE"} {
		if r, _ := NewTable(d).Route(host, "/x/"); r.Name != "wide" {
			t.Errorf("a request to %s is routed by %q", host, r.Name)
		}
	}
}

func TestLongestPrefixWins(t *testing.T) {
	table := NewTable(valid())
	cases := map[string]string{"/x/": "wide", "/x/z": "wide", "/x/y/": "deep", "/x/y/z/..//": "deep", "/x/y": "wide", "/x": "", "/": "", "": "", "/x%2fy/": ""}
	for path, want := range cases {
		r, _ := table.Route("H", path)
		if r.Name != want {
			t.Errorf("%q: got %q, want %q", path, r.Name, want)
		}
	}
	if _, ok := table.Route("other", "/x/"); ok {
		t.Error("a route of a different host was found")
	}
}

func TestSharesFollowWeights(t *testing.T) {
	r := valid().Routes[1]
	if r.ServiceAt(0.899) != "a" || r.ServiceAt(0.901) != "b" || r.ServiceAt(0.9999999) != "b" {
		t.Error("the shares are not proportional to the weights")
	}
}

// Guards against a route whose largest weights add up to infinity and send all requests to its last service.
func TestLargestWeightsAreShared(t *testing.T) {
	r := Route{Shares: []Share{{"a", math.MaxFloat64}, {"b", math.MaxFloat64}}}
	if r.ServiceAt(0.4) != "a" || r.ServiceAt(0.6) != "b" {
		t.Errorf("got %s and %s", r.ServiceAt(0.4), r.ServiceAt(0.6))
	}
}
