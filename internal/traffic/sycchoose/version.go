package sycchoose

import (
	"sycamorecart.example/sycamorecart/internal/decide/sycwork"
)

// candidates returns the versions on which a request may run. For work that names its
// weights, that is the version with these weights, otherwise the versions that have a
// traffic share and aren't vetoed on this VM. A version is vetoed if its rollout has shown a
// fault.
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

// pinned returns the version of a model with the given weights, for a stream that resumes.
// The version may have no traffic share any more. It returns nil if there is no such
// version.
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

// initialVersions returns the versions of a model whose record marks them as initial, which
// need no rollout, with a traffic share of 1 each.
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
