package sycsite_test

import (
	"errors"
	"testing"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/decide/sycsite"
)

func route(name, host, prefix string) sycsite.Route {
	return sycsite.Route{Name: name, Host: host, Prefix: prefix, Split: []sycsite.TrafficShare{{Service: "s", Weight: 1}}}
}

func TestMatchReturnsTheLongestPrefix(t *testing.T) {
	c, err := sycsite.New(sycsite.Fields{Routes: []sycsite.Route{
		route("short", "a.example", "/x/"),
		route("long", "a.example", "/x/y/"),
		route("other", "b.example", "/"),
	}})
	must.NoError(t, err)
	tests := []struct{ host, path, want string }{
		{"a.example", "/x/y/z", "long"},
		{"A.Example", "/x/y/z", "long"},
		{"a.example", "/x/yz", "short"},
		{"a.example", "/x", ""},
		{"b.example", "//x", "other"},
		{"c.example", "/x/", ""},
	}
	for _, tt := range tests {
		t.Run(tt.host+tt.path, func(t *testing.T) {
			r := c.Match(tt.host, tt.path)
			if tt.want == "" {
				must.Nil(t, r)
				return
			}
			must.Eq(t, tt.want, r.Name)
		})
	}
}

func TestErrorNamesTheInvalidRoute(t *testing.T) {
	tests := []struct {
		name  string
		route sycsite.Route
	}{
		{"no host", route("r", "", "/")},
		{"prefix without a slash at its end", route("r", "h", "/x")},
		{"no service", sycsite.Route{Name: "r", Host: "h", Prefix: "/"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := sycsite.New(sycsite.Fields{Routes: []sycsite.Route{tt.route}})
			var field *sycsite.FieldError
			must.True(t, errors.As(err, &field))
			must.Eq(t, "route 0 (r)", field.Location)
		})
	}
}

func TestPickFollowsTheWeights(t *testing.T) {
	r := sycsite.Route{Split: []sycsite.TrafficShare{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c"}}}
	tests := []struct {
		draw float64
		want string
	}{{0, "a"}, {0.89, "a"}, {0.91, "b"}, {0.999, "b"}}
	for _, tt := range tests {
		must.Eq(t, tt.want, r.Pick(tt.draw))
	}
}

func TestRepeats(t *testing.T) {
	tests := []struct {
		route sycsite.Route
		want  bool
	}{
		{sycsite.Route{Kind: sycsite.AtMostOnce}, false},
		{sycsite.Route{Kind: sycsite.Repeatable}, true},
		{sycsite.Route{Kind: sycsite.Stream}, false},
		{sycsite.Route{Kind: sycsite.Stream, Resumable: true}, true},
	}
	for _, tt := range tests {
		must.Eq(t, tt.want, tt.route.Repeats())
	}
}
