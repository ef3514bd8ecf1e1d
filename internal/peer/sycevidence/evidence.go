// Package sycevidence encodes and decodes evidence, the counts by which the versions of a
// rollout are compared, for messages between VMs.
//
// A cell identifies a version and a kind of request whose attempts are counted together.
// Its class is a number that stands for the endpoint's load, the request's size and
// whether prompt blocks were imported. The counts include histograms of durations, whose
// counts are called buckets.
package sycevidence

import (
	"sycamorecart.example/sycamorecart/internal/decide/sycrollout"
	"sycamorecart.example/sycamorecart/internal/peer/sycpeerpb"
)

// Encode returns the message for the counts in a cell.
func Encode(cell sycrollout.Cell, c sycrollout.Counts) *sycpeerpb.VersionEvidence {
	return &sycpeerpb.VersionEvidence{
		Version:       cell.Version,
		Generation:    cell.Generation,
		Route:         cell.Route,
		Load:          cell.Class(),
		Requests:      c.Requests,
		Failures:      c.Failures,
		FirstToken:    trim(c.FirstToken[:]),
		BetweenTokens: trim(c.BetweenTokens[:]),
	}
}

// Decode returns the cell and the counts in a message. It returns false if this VM doesn't
// know the cell's class or the message has too many buckets.
func Decode(e *sycpeerpb.VersionEvidence) (sycrollout.Cell, sycrollout.Counts, bool) {
	cell := sycrollout.Cell{Version: e.GetVersion(), Generation: e.GetGeneration(), Route: e.GetRoute()}
	counts := sycrollout.Counts{Requests: e.GetRequests(), Failures: e.GetFailures()}
	if !cell.SetClass(e.GetLoad()) {
		return cell, counts, false
	}
	if len(e.GetFirstToken()) > sycrollout.BucketCount || len(e.GetBetweenTokens()) > sycrollout.BucketCount {
		return cell, counts, false
	}
	copy(counts.FirstToken[:], e.GetFirstToken())
	copy(counts.BetweenTokens[:], e.GetBetweenTokens())
	return cell, counts, true
}

// trim returns the buckets without the zeros at the end, to shorten the message.
func trim(buckets []uint64) []uint64 {
	for len(buckets) > 0 && buckets[len(buckets)-1] == 0 {
		buckets = buckets[:len(buckets)-1]
	}
	return buckets
}
