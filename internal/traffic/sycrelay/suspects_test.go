package sycrelay

import (
	"testing"

	"github.com/shoenig/test/must"
)

// TestRequestsAreToldApart guards against a sound request that is taken for a harmful one, and against a repeat of one that isn't.
func TestRequestsAreToldApart(t *testing.T) {
	base := func() *exchange {
		return &exchange{customer: "c", body: []byte("body"), call: &Call{
			ID: "1", Method: "POST", Host: "h", Target: "/p?q", Model: "m", Blocks: []Block{{Name: "a", Tokens: 1}, {Name: "b", Tokens: 1}}, LastEvent: "1",
		}}
	}
	tests := []struct {
		name   string
		change func(x *exchange)
		same   bool
	}{
		{"another ID", func(x *exchange) { x.call.ID = "2" }, true},
		{"resumed elsewhere", func(x *exchange) { x.call.LastEvent = "7" }, true},
		{"another customer", func(x *exchange) { x.customer = "d" }, false},
		{"another body", func(x *exchange) { x.body = []byte("bodies") }, false},
		{"another query", func(x *exchange) { x.call.Target = "/p?r" }, false},
		{"another host", func(x *exchange) { x.call.Host = "i" }, false},
		{"another method", func(x *exchange) { x.call.Method = "PUT" }, false},
		{"another last block", func(x *exchange) { x.call.Blocks[1].Name = "c" }, false},
		{"the same bytes, split elsewhere", func(x *exchange) { x.call.Host, x.call.Target = "h/", "p?q" }, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			x := base()
			tt.change(x)
			must.Eq(t, tt.same, base().identity() == x.identity())
			prompt := x.prompt()
			must.Eq(t, prompt.Request, prompt.Blocks[len(prompt.Blocks)-1])
			must.Len(t, 2, prompt.Blocks)
		})
	}
	plain := &exchange{call: &Call{Method: "GET", Target: "/"}}
	must.Eq(t, []uint64{plain.identity()}, plain.prompt().Blocks)
}
