package sycregistry_test

import (
	"testing"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/decide/sycplace"
	"sycamorecart.example/sycamorecart/internal/decide/sycregistry"
)

// TestServicesThatAreNamedLater guards against workers that stay out of use since their records came before the
// configuration that names their service, and against records of services that no configuration names any more.
func TestServicesThatAreNamedLater(t *testing.T) {
	app, other := sycplace.Endpoint{ID: "a", Service: "app"}, sycplace.Endpoint{ID: "o", Service: "other"}
	r := sycregistry.New()
	must.False(t, r.Admit(app))
	must.False(t, r.Admit(other))
	steps := []struct {
		name           string
		services       []string
		inUse          []sycplace.Endpoint
		named, unnamed []sycplace.Endpoint
	}{
		{"first", []string{"app"}, nil, []sycplace.Endpoint{app}, []sycplace.Endpoint{other}},
		{"added", []string{"app", "other"}, []sycplace.Endpoint{app}, []sycplace.Endpoint{other}, nil},
		{"removed", []string{"other"}, []sycplace.Endpoint{app, other}, nil, []sycplace.Endpoint{app}},
		{"added again", []string{"app"}, []sycplace.Endpoint{other}, []sycplace.Endpoint{app}, []sycplace.Endpoint{other}},
	}
	for _, s := range steps {
		named, unnamed := r.SetServices(s.services, s.inUse)
		must.Eq(t, s.named, named, must.Sprint(s.name))
		must.Eq(t, s.unnamed, unnamed, must.Sprint(s.name))
	}
	must.Eq(t, 1, r.AsideCount())
	r.Drop("o")
	named, _ := r.SetServices([]string{"app", "other"}, nil)
	must.SliceEmpty(t, named)
}

// TestRepeatedReasonIsNoNews guards against a log line with each heartbeat of a writer whose records name no endpoint.
func TestRepeatedReasonIsNoNews(t *testing.T) {
	r := sycregistry.New()
	must.True(t, r.PassOver("k", sycregistry.UnnamedService))
	must.False(t, r.PassOver("k", sycregistry.UnnamedService))
	must.True(t, r.PassOver("k", sycregistry.Incomplete))
	r.SetServices([]string{"app"}, nil)
	must.True(t, r.Admit(sycplace.Endpoint{ID: "k", Service: "app"}))
	must.True(t, r.PassOver("k", sycregistry.Incomplete))
}
