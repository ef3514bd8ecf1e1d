package sycdispatch

import (
	"slices"

	"sycamorecart.example/sycamorecart/internal/decide/sycwork"
)

// active returns the versions of a model that get new requests now.
func (d *Dispatcher[P]) active(model string) []sycwork.VersionShare {
	return slices.DeleteFunc(slices.Clone(d.options.Versions(model)), func(v sycwork.VersionShare) bool {
		return v.Share <= 0 || v.Vetoed
	})
}

// draw returns the name of the version that a request runs on. Over many
// requests the versions are drawn in proportion to their shares. A request that
// is tried again takes the version with the largest share.
func (d *Dispatcher[P]) draw(r *Request) string {
	if r.Model == "" {
		return ""
	}
	if r.Pinned {
		return r.Options[0].Version.Version
	}
	versions := d.active(r.Model)
	if len(versions) == 0 {
		return ""
	}
	if len(versions) == 1 || len(r.Exclude) > 0 {
		return largest(versions).Version
	}
	return d.drawShare(versions)
}

// drawShare gives each version a credit of its share and takes the version
// with the most credit.
func (d *Dispatcher[P]) drawShare(versions []sycwork.VersionShare) string {
	total, best := 0.0, 0
	for _, v := range versions {
		total += v.Share
	}
	for i, v := range versions {
		if _, ok := d.drawn[v.Version]; !ok {
			d.drawn[v.Version] = d.firstCredit(v)
		}
		d.drawn[v.Version] += v.Share / total
		if d.drawn[v.Version] > d.drawn[versions[best].Version] {
			best = i
		}
	}
	d.drawn[versions[best].Version]--
	return versions[best].Version
}

// firstCredit differs between VMs, so that they don't draw a new version all
// at the same time.
func (d *Dispatcher[P]) firstCredit(v sycwork.VersionShare) float64 {
	part := float64(d.options.Seed%1024) / 1024
	return -part * (1 - v.Share)
}

func largest(versions []sycwork.VersionShare) sycwork.VersionShare {
	return slices.MaxFunc(versions, func(a, b sycwork.VersionShare) int {
		switch {
		case a.Share < b.Share:
			return -1
		case a.Share > b.Share:
			return 1
		}
		return 0
	})
}

// options returns the options that a request may use now, the drawn version
// first. A version with a smaller share never stands in for one with a larger,
// so that overload adds nothing to the share of a new version.
func (d *Dispatcher[P]) optionsFor(r *Request) []Option {
	if r.Pinned {
		return r.Options
	}
	versions := d.active(r.Model)
	if len(versions) == 0 {
		return nil
	}
	if !slices.ContainsFunc(versions, func(v sycwork.VersionShare) bool { return v.Version == r.drawn }) {
		r.drawn = largest(versions).Version
	}
	var list []Option
	for _, name := range []string{r.drawn, largest(versions).Version} {
		i := slices.IndexFunc(r.Options, func(o Option) bool { return o.Version.Version == name })
		if i >= 0 && (len(list) == 0 || list[0].Version.Version != name) {
			list = append(list, r.Options[i])
		}
	}
	return list
}
