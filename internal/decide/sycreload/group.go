package sycreload

// group counts the engines that can go on with each other's requests.
type group struct {
	// size counts all, cordoned those that are cordoned, and loading those of them that load.
	size, cordoned, loading int
	// standing counts those that aren't cordoned and can go on with requests of others.
	standing int
}

// takesOver reports whether the engine could go on with requests of others, but for a cordon.
func (e Engine) takesOver() bool { return !e.Unavailable && !e.Expired }

// group returns the groups of the engines, by name.
func (p *Plan) group(engines []Engine) map[string]*group {
	out := map[string]*group{}
	for _, e := range engines {
		g := out[e.Group]
		if g == nil {
			g = &group{}
			out[e.Group] = g
		}
		g.size++
		if p.loading[e.ID] {
			g.loading++
		}
		switch _, cordoned := p.cordonedSince[e.ID]; {
		case cordoned:
			g.cordoned++
		case e.takesOver():
			g.standing++
		}
	}
	return out
}

// cordon counts the cordon of an engine.
func (g *group) cordon(e Engine) {
	g.standing = g.standingWithout(e)
	g.cordoned++
}

// standingWithout returns how many engines would stand if one that isn't cordoned were.
func (g *group) standingWithout(e Engine) int {
	if e.takesOver() {
		return g.standing - 1
	}
	return g.standing
}

// cordonLimit returns how many engines of the group may be cordoned at a time.
func (g *group) cordonLimit() int {
	return max(min(limitOf(maxCordonedFraction, g.size), int(maxGroupCordoned*float64(g.size))), 1)
}

// loadLimit returns how many engines of the group may load at a time.
func (g *group) loadLimit() int { return max(int(maxGroupLoading*float64(g.size)), 1) }
