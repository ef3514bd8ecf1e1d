package sycgateway_test

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/decide/sycblock"
	"sycamorecart.example/sycamorecart/internal/standin/sycengine"
	"sycamorecart.example/sycamorecart/internal/standin/sycfault"
)

// TestClientResumesAtAnotherVM disconnects a client from one gateway and resumes
// its stream through another. The parts must add up to the exact text, also if the
// engine has lost the stream.
func TestClientResumesAtAnotherVM(t *testing.T) {
	cases := []struct {
		name string
		// fail sets the state of the first engine before the client resumes.
		fail func(p *enginePair)
		// sendsText means that the client sends the text received so far.
		sendsText bool
	}{
		{"engine still has the stream", func(*enginePair) {}, false},
		{"engine restarted empty", func(p *enginePair) { p.first.Crash() }, false},
		{"engine restarted empty, caller sends its text", func(p *enginePair) { p.first.Crash() }, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := newEnginePair(t)
			other := newTestGateway(t, nil, engineTarget("e2", p.second.URL()))
			other.state = p.state
			wrong := 0
			for at := range 4 {
				prompt := fmt.Sprintf("%s %d", c.name, at)
				text, stream := p.startAndDisconnect(t, prompt, at*5)
				c.fail(p)
				body := completionBody(prompt, true)
				if c.sendsText {
					body = fmt.Sprintf(`%s,"text_so_far":%q}`, strings.TrimSuffix(body, "}"), text)
				}
				resp := other.post(t, "/v1/completions", body, "Sycamorecart-Stream", stream, "Last-Event-ID", strconv.Itoa(at*5))
				got := readStream(resp, at*5+1, nil)
				got.text = text + got.text
				if !got.correct(prompt) {
					t.Logf("next %d, ended %t, error %v, text %q", got.next, got.ended, got.err, got.text)
					wrong++
				}
				p.proxy.Set(sycfault.Fault{})
			}
			t.Logf("4 streams resumed, %d wrong", wrong)
			must.Eq(t, 0, wrong)
		})
	}
}

// startAndDisconnect reads a stream up to the token with index last. Then it cuts
// the connection to the engine and cancels the request, as if the VM had failed. It
// returns the text received and the stream's ID.
func (p *enginePair) startAndDisconnect(t *testing.T, prompt string, last int) (text, stream string) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, p.server.URL+"/v1/completions", strings.NewReader(completionBody(prompt, true)))
	must.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+testKey)
	resp, err := http.DefaultClient.Do(req)
	must.NoError(t, err)
	readStream(resp, 0, func(n int) {
		if n == last {
			p.proxy.Set(sycfault.Fault{Cut: true})
			cancel()
		}
	})
	return strings.Join(sycengine.Answer("w1", "", prompt, last+1), ""), resp.Header.Get("Sycamorecart-Stream")
}

// TestResumedStreamKeepsItsWeights resumes streams whose engine breaks them off
// again at the same place, while all other engines have different weights. The
// stream must fail rather than continue with different weights.
func TestResumedStreamKeepsItsWeights(t *testing.T) {
	p := newEnginePair(t)
	p.first.SetFaults(sycengine.Faults{Failures: []sycengine.Failure{{Share: 1, Mode: sycengine.ModeCut}}})
	p.chooser.targets = p.chooser.targets[:1]
	newer := newEngineWith(t, "w2")
	target := engineTarget("e2", newer.URL())
	target.Weights = "w2"
	other := newTestGateway(t, nil, target)
	other.state = p.state
	const tries = 4
	wrong := 0
	for try := range tries {
		prompt := fmt.Sprintf("weights %d", try)
		resp := p.post(t, "/v1/completions", completionBody(prompt, true))
		stream := resp.Header.Get("Sycamorecart-Stream")
		first := readStream(resp, 0, nil)
		must.False(t, first.ended)
		must.Positive(t, first.next)
		resp = other.post(t, "/v1/completions", completionBody(prompt, true), "Sycamorecart-Stream", stream, "Last-Event-ID", strconv.Itoa(first.next-1))
		second := readStream(resp, first.next, nil)
		if second.ended || second.text != "" {
			t.Logf("try %d: ended %t, text %q after %q", try, second.ended, second.text, first.text)
			wrong++
		}
	}
	t.Logf("%d streams resumed where only other weights are left, %d wrong", tries, wrong)
	must.Eq(t, 0, wrong)
	must.Len(t, 0, newer.Requests())
}

// TestStreamBelongsToItsRequest checks that a stream's ID can't be used with a
// different request or by another customer.
func TestStreamBelongsToItsRequest(t *testing.T) {
	p := newEnginePair(t)
	resp := p.post(t, "/v1/completions", completionBody("mine", true))
	stream := resp.Header.Get("Sycamorecart-Stream")
	must.True(t, strings.Contains(readBody(t, resp), "[DONE]"))
	t.Run("another request", func(t *testing.T) {
		resp := p.post(t, "/v1/completions", completionBody("other", true), "Sycamorecart-Stream", stream)
		must.Eq(t, http.StatusUnprocessableEntity, resp.StatusCode)
		must.StrContains(t, readBody(t, resp), "stream_mismatch")
	})
	t.Run("another customer", func(t *testing.T) {
		before := len(p.first.Requests()) + len(p.second.Requests())
		resp := p.post(t, "/v1/completions", completionBody("mine", true),
			"Authorization", "Bearer "+testKey+"-2", "Sycamorecart-Stream", stream)
		must.StrContains(t, readBody(t, resp), "[DONE]")
		// The engine didn't hand over the stream of another salt, so the output was
		// generated again.
		requests := append(p.first.Requests(), p.second.Requests()...)
		must.Eq(t, before+1, len(requests))
		salts := map[string]bool{}
		for _, r := range requests {
			salts[r.Salt] = true
		}
		must.MapContainsKey(t, salts, sycblock.Salt("c1", "m", "", "w1"))
		must.MapContainsKey(t, salts, sycblock.Salt("c2", "m", "", "w1"))
	})
	t.Run("invalid ID", func(t *testing.T) {
		resp := p.post(t, "/v1/completions", completionBody("mine", true), "Sycamorecart-Stream", "%%")
		must.Eq(t, http.StatusBadRequest, resp.StatusCode)
		must.StrContains(t, readBody(t, resp), "invalid_stream")
	})
}
