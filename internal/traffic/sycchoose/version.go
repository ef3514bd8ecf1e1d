package sycchoose

import (
	"sycamorecart.example/sycamorecart/internal/decide/sycwork"
)

// candidates returns the versions that a request may run on.
func (c *Chooser) candidates(w sycwork.Work) []sycwork.VersionShare {
	if w.Weights != "" {
		return c.pinned(w.Model, w.Weights)
	}
	var list []sycwork.VersionShare
	for _, v := range c.versions(w.Model) {
		if v.Share > 0 && !v.Vetoed {
			list = append(list, v)
		}
	}
	return list
}

// pinned finds the version of a stream that resumes. The version may have no
// share of new requests any more.
func (c *Chooser) pinned(model, weights string) []sycwork.VersionShare {
	for _, o := range c.config().Versions() {
		v := o.Value()
		if v.Model() == model && v.Weights() == weights {
			return []sycwork.VersionShare{{
				Version: v.Name(),
				Weights: v.Weights(),
				Adapter: v.Adapter(),
			}}
		}
	}
	return nil
}

// initialVersions gives the traffic of a model to the versions that need no rollout.
func (c *Chooser) initialVersions(model string) []sycwork.VersionShare {
	var list []sycwork.VersionShare
	for _, o := range c.config().Versions() {
		v := o.Value()
		if v.Model() != model || !v.Initial() {
			continue
		}
		list = append(list, sycwork.VersionShare{
			Version: v.Name(),
			Weights: v.Weights(),
			Adapter: v.Adapter(),
			Share:   1,
		})
	}
	return list
}
