package sycfleet

import (
	"fmt"

	"sycamorecart.example/sycamorecart/internal/decide/sycplace"
	"sycamorecart.example/sycamorecart/internal/decide/sycthrottle"
	"sycamorecart.example/sycamorecart/internal/peer/sycgossippb"
)

func encodeLoad(l sycplace.Load) *sycgossippb.Load {
	return &sycgossippb.Load{Endpoint: l.Endpoint, Requests: int64(l.Requests), Fixed: int64(l.NonResumable), Tokens: int64(l.Tokens)}
}

func encodeSent(s sycplace.SentPrompt) *sycgossippb.Sent {
	out := &sycgossippb.Sent{Endpoint: s.Endpoint}
	for _, p := range s.Blocks {
		out.Hashes = append(out.Hashes, p.Hash)
		out.Tokens = append(out.Tokens, int64(p.Tokens))
	}
	return out
}

func decodeSent(s *sycgossippb.Sent) sycplace.SentPrompt {
	out := sycplace.SentPrompt{Endpoint: s.Endpoint}
	for i, h := range s.Hashes {
		if i < len(s.Tokens) {
			out.Blocks = append(out.Blocks, sycplace.Block{Hash: h, Tokens: int(s.Tokens[i])})
		}
	}
	return out
}

func encodeCache(r sycplace.CacheReport) *sycgossippb.Cache {
	out := &sycgossippb.Cache{Endpoint: r.Endpoint, Born: r.Incarnation, Weights: r.Weights, Gone: r.Evicted}
	for _, block := range r.Cached {
		out.Kept = append(out.Kept, block.Hash)
		out.Tokens = append(out.Tokens, int64(block.Tokens))
	}
	return out
}

func decodeCache(c *sycgossippb.Cache) sycplace.CacheReport {
	out := sycplace.CacheReport{Endpoint: c.Endpoint, Incarnation: c.Born, Weights: c.Weights, Evicted: c.Gone}
	for i, hash := range c.Kept {
		if i < len(c.Tokens) {
			out.Cached = append(out.Cached, sycplace.Block{Hash: hash, Tokens: int(c.Tokens[i])})
		}
	}
	return out
}

func encodeLimit(r sycplace.LimitReport) *sycgossippb.EndpointLimit {
	return &sycgossippb.EndpointLimit{Endpoint: r.Endpoint, Born: r.Incarnation, Rate: r.Rate, Number: r.Number, Sent: r.Sent}
}

func decodeLimit(m *sycgossippb.EndpointLimit) sycplace.LimitReport {
	return sycplace.LimitReport{
		Endpoint: m.Endpoint, Incarnation: m.Born,
		Report: sycthrottle.Report{Rate: m.Rate, Number: m.Number, Sent: m.Sent},
	}
}

// evidenceName returns a text that identifies the cell of a message of evidence.
func evidenceName(e *sycgossippb.Evidence) string {
	return fmt.Sprint(e.Service, "/", e.Counts.GetVersion(), "/", e.Counts.GetGeneration(), "/", e.Counts.GetRoute(), "/", e.Counts.GetLoad())
}
