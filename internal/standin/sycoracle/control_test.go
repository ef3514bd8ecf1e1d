package sycoracle_test

import (
	"encoding/json"
	"testing"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/decide/sycrecord"
	"sycamorecart.example/sycamorecart/internal/standin/sycengine"
	"sycamorecart.example/sycamorecart/internal/standin/sycload"
	"sycamorecart.example/sycamorecart/internal/standin/sycoracle"
	"sycamorecart.example/sycamorecart/internal/standin/sycplatform"
	"sycamorecart.example/sycamorecart/internal/standin/sycservice"
)

// record returns a log record that puts a customer if its generation is expect.
func record(offset uint64, id string, expect uint64) sycplatform.Record {
	data, _ := json.Marshal(sycrecord.Operation{
		Schema: sycrecord.NewestSchema, ID: id, Verb: sycrecord.Put, Kind: sycrecord.KindCustomer, Name: "rota",
		Expect: &expect, Spec: json.RawMessage(`{"requests_per_second":1,"burst":2}`),
	})
	return sycplatform.Record{Offset: offset, ID: id, Data: data}
}

func TestBreachesOfControlAreFound(t *testing.T) {
	deadline := at(5)
	outcome := sycoracle.Outcome{State: "rolled_back", Reason: "no weights", At: at(4)}
	submissions := []sycoracle.Submission{{ID: "a", Accepted: true}, {ID: "b", Reason: "generation is 1"}}
	race := []sycplatform.Record{record(0, "a", 0), record(1, "b", 0)}
	tests := []struct {
		name     string
		property sycoracle.Property
		held     bool
		check    func(*sycoracle.Ledger)
	}{
		{"fractions within the domain's", sycoracle.SlotHeldOnce, true, func(l *sycoracle.Ledger) {
			sycoracle.CheckFractions(l, "zakopane", []float64{0.125, 0.25, 0}, 0.375)
		}},
		{"slot accrued twice", sycoracle.SlotHeldOnce, false, func(l *sycoracle.Ledger) {
			sycoracle.CheckFractions(l, "zakopane", []float64{0.125, 0.25, 0.125}, 0.375)
		}},
		{"rising fencing numbers", sycoracle.OrdersFenced, true, func(l *sycoracle.Ledger) {
			sycoracle.CheckOrders(l, []sycengine.Order{{Fence: 4, Time: at(2)}, {Fence: 3, Time: at(1)}})
		}},
		{"old fencing number", sycoracle.OrdersFenced, false, func(l *sycoracle.Ledger) {
			sycoracle.CheckOrders(l, []sycengine.Order{{Fence: 4, Time: at(1)}, {Fence: 3, Time: at(2)}})
		}},
		{"in time", sycoracle.DeadlineHeld, true, func(l *sycoracle.Ledger) {
			sycoracle.CheckDeadline(l, outcome, "rolled_back", deadline)
		}},
		{"late", sycoracle.DeadlineHeld, false, func(l *sycoracle.Ledger) {
			sycoracle.CheckDeadline(l, outcome, "rolled_back", at(3))
		}},
		{"never ended", sycoracle.DeadlineHeld, false, func(l *sycoracle.Ledger) {
			sycoracle.CheckDeadline(l, sycoracle.Outcome{State: "rolled_back", Reason: "x"}, "rolled_back", deadline)
		}},
		{"no reason", sycoracle.DeadlineHeld, false, func(l *sycoracle.Ledger) {
			sycoracle.CheckDeadline(l, sycoracle.Outcome{State: "rolled_back", At: at(4)}, "rolled_back", deadline)
		}},
		{"one winner", sycoracle.OneWinner, true, func(l *sycoracle.Ledger) { sycoracle.CheckRace(l, submissions) }},
		{"two winners", sycoracle.OneWinner, false, func(l *sycoracle.Ledger) {
			sycoracle.CheckRace(l, []sycoracle.Submission{{Accepted: true}, {Accepted: true}})
		}},
		{"no reason for the loser", sycoracle.OneWinner, false, func(l *sycoracle.Ledger) {
			sycoracle.CheckRace(l, []sycoracle.Submission{{Accepted: true}, {}})
		}},
		{"log agrees", sycoracle.OneWinner, true, func(l *sycoracle.Ledger) { sycoracle.CheckLog(l, race, submissions) }},
		{"log differs", sycoracle.OneWinner, false, func(l *sycoracle.Ledger) {
			sycoracle.CheckLog(l, race, []sycoracle.Submission{{ID: "a"}, {ID: "b", Accepted: true}})
		}},
		{"call in time", sycoracle.AtMostOnce, true, func(l *sycoracle.Ledger) {
			sycoracle.CheckClaimExpiry(l, []sycservice.Call{call("dock", "rota")}, []string{"dock"}, at(1))
		}},
		{"late call", sycoracle.AtMostOnce, false, func(l *sycoracle.Ledger) {
			sycoracle.CheckClaimExpiry(l, []sycservice.Call{call("dock", "rota")}, []string{"dock"}, at(0.1))
		}},
		{"served", sycoracle.ServesThrough, true, func(l *sycoracle.Ledger) {
			sycoracle.CheckServed(l, []sycload.Exchange{exchange(func(*sycload.ExchangeFields) {})})
		}},
		{"only refused", sycoracle.ServesThrough, false, func(l *sycoracle.Ledger) {
			sycoracle.CheckServed(l, []sycload.Exchange{exchange(func(f *sycload.ExchangeFields) { f.Verdict = sycload.Refused })})
		}},
		{"failed request", sycoracle.ServesThrough, false, func(l *sycoracle.Ledger) {
			lost := exchange(func(f *sycload.ExchangeFields) { f.Verdict = sycload.Failed })
			sycoracle.CheckServed(l, []sycload.Exchange{exchange(func(*sycload.ExchangeFields) {}), lost})
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := sycoracle.NewLedger()
			tt.check(l)
			must.Positive(t, l.Tried(tt.property))
			must.Eq(t, tt.held, l.Sound(), must.Sprint(l.Notes(tt.property)))
		})
	}
}
