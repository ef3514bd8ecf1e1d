package sycdispatch

import (
	"slices"

	"sycamorecart.example/sycamorecart/internal/decide/sycwork"
)

// activeVersions returns the versions of a model that get new requests: they have a
// traffic share and this VM hasn't vetoed them.
func (d *Dispatcher[P]) activeVersions(model string) []sycwork.VersionShare {
	return slices.DeleteFunc(slices.Clone(d.options.Versions(model)), func(v sycwork.VersionShare) bool {
		return v.Share <= 0 || v.Vetoed
	})
}

// drawVersion returns the name of the version that a request should run on, or an
// empty string if there is none. Over many requests, versions are drawn in
// proportion to their traffic shares. A retried request gets the version with the
// largest share.
func (d *Dispatcher[P]) drawVersion(r *Request) string {
	if r.Model == "" {
		return ""
	}
	if r.Pinned {
		return r.Options[0].Version.Version
	}
	versions := d.activeVersions(r.Model)
	if len(versions) == 0 {
		return ""
	}
	if len(versions) == 1 || len(r.Exclude) > 0 {
		return largestShare(versions).Version
	}
	return d.drawByCredit(versions)
}

// drawByCredit adds each version's traffic share, as a fraction of the sum of all
// shares, to its credit, draws the version with the most credit and subtracts 1
// from it.
func (d *Dispatcher[P]) drawByCredit(versions []sycwork.VersionShare) string {
	total, best := 0.0, 0
	for _, v := range versions {
		total += v.Share
	}
	for i, v := range versions {
		if _, ok := d.versionCredits[v.Version]; !ok {
			d.versionCredits[v.Version] = d.initialCredit(v)
		}
		d.versionCredits[v.Version] += v.Share / total
		if d.versionCredits[v.Version] > d.versionCredits[versions[best].Version] {
			best = i
		}
	}
	d.versionCredits[versions[best].Version]--
	return versions[best].Version
}

// initialCredit returns the starting credit of a version. It depends on the VM's
// seed, so that VMs don't all draw a new version at the same time.
func (d *Dispatcher[P]) initialCredit(v sycwork.VersionShare) float64 {
	fraction := float64(d.options.Seed%1024) / 1024
	return -fraction * (1 - v.Share)
}

// largestShare returns the version with the largest traffic share.
func largestShare(versions []sycwork.VersionShare) sycwork.VersionShare {
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

// allowedOptions returns the options that a request may use now, the drawn version
// first. The only fallback is the version with the largest traffic share, so that
// overload doesn't add requests to a new version.
func (d *Dispatcher[P]) allowedOptions(r *Request) []Option {
	if r.Pinned {
		return r.Options
	}
	versions := d.activeVersions(r.Model)
	if len(versions) == 0 {
		return nil
	}
	if !slices.ContainsFunc(versions, func(v sycwork.VersionShare) bool { return v.Version == r.drawnVersion }) {
		r.drawnVersion = largestShare(versions).Version
	}
	var list []Option
	for _, name := range []string{r.drawnVersion, largestShare(versions).Version} {
		i := slices.IndexFunc(r.Options, func(o Option) bool { return o.Version.Version == name })
		if i >= 0 && (len(list) == 0 || list[0].Version.Version != name) {
			list = append(list, r.Options[i])
		}
	}
	return list
}
