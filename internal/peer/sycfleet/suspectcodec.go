package sycfleet

import (
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sycsuspect"
	"sycamorecart.example/sycamorecart/internal/peer/sycgossippb"
)

func encodeSuspect(r sycsuspect.Record) *sycgossippb.Suspect {
	out := &sycgossippb.Suspect{Ended: r.Ended, Alive: r.Alive, Served: r.Served, Known: r.Known, Trial: r.Trial}
	if b := r.Break; b != nil {
		out.Broken = &sycgossippb.Broken{
			Endpoint:         b.Endpoint,
			Request:          b.Request,
			Blocks:           b.Blocks,
			AtMilliseconds:   b.At.Milliseconds(),
			TookMilliseconds: b.Took.Milliseconds(),
			Begun:            b.Begun,
		}
	}
	if c := r.Conviction; c != nil {
		out.Conviction = &sycgossippb.Conviction{
			Block:                c.Block,
			Generation:           c.Generation,
			Lifted:               c.Lifted,
			Checks:               c.Checks,
			WaitMilliseconds:     c.Wait.Milliseconds(),
			Waves:                int64(c.Evidence.Waves),
			Ends:                 int64(c.Evidence.Ends),
			Requests:             int64(c.Evidence.Requests),
			Begun:                int64(c.Evidence.Begun),
			Depth:                int64(c.Evidence.Depth),
			EvidenceMilliseconds: c.Evidence.Age.Milliseconds(),
		}
	}
	return out
}

func decodeSuspect(m *sycgossippb.Suspect) sycsuspect.Record {
	out := sycsuspect.Record{Ended: m.Ended, Alive: m.Alive, Served: m.Served, Known: m.Known, Trial: m.Trial}
	if b := m.Broken; b != nil {
		out.Break = &sycsuspect.Break{
			Prompt:   sycsuspect.Prompt{Request: b.Request, Blocks: b.Blocks},
			Endpoint: b.Endpoint,
			At:       milliseconds(b.AtMilliseconds),
			Took:     milliseconds(b.TookMilliseconds),
			Begun:    b.Begun,
		}
	}
	if c := m.Conviction; c != nil {
		out.Conviction = &sycsuspect.Conviction{
			Block:      c.Block,
			Generation: c.Generation,
			Lifted:     c.Lifted,
			Checks:     c.Checks,
			Wait:       milliseconds(c.WaitMilliseconds),
			Evidence: sycsuspect.Evidence{
				Waves: int(c.Waves), Ends: int(c.Ends), Requests: int(c.Requests), Begun: int(c.Begun),
				Depth: int(c.Depth), Age: milliseconds(c.EvidenceMilliseconds),
			},
		}
	}
	return out
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
