package sycadmit

import (
	"context"
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/syclimit"
	"sycamorecart.example/sycamorecart/internal/peer/sycpeerpb"
)

// borrow requests a loan of permits from a peer in the background. The reply is applied on
// the control loop. generation is the generation of the customer's record on this VM.
func (l *Limiter) borrow(a syclimit.Ask, generation uint64) {
	self := l.options.Self
	request := &sycpeerpb.BorrowRequest{
		From: &sycpeerpb.Vm{
			Address:       self.Address,
			FailureDomain: self.FailureDomain,
			Incarnation:   self.Incarnation,
		},
		Id:         a.ID,
		Customer:   a.Customer,
		Amount:     int64(a.Amount),
		Shortage:   int64(a.Shortage),
		Generation: generation,
	}
	for _, s := range a.Settled {
		request.Settled = append(request.Settled, s.ID)
		request.Returned = append(request.Returned, int64(s.Returned))
	}
	if l.control.closed {
		return
	}
	l.tomb.Go(func() error {
		ctx, cancel := context.WithTimeout(l.tomb.Context(context.Background()), l.options.Settings.Limit.LoanValid)
		defer cancel()
		reply, err := l.options.Lender.Borrow(ctx, a.Peer, request)
		l.options.Loop.Post(func(now time.Duration) { l.control.applyReply(now, a, reply, err) })
		return nil
	})
}

// applyReply passes a peer's loan, or the failure of the request for it, to the machine.
func (c *control) applyReply(now time.Duration, a syclimit.Ask, reply *sycpeerpb.BorrowReply, err error) {
	if err != nil || reply.GetAmount() < 0 {
		asksFailed.Inc()
		log.Debugf("request for a loan from VM %s failed: %v", a.Peer, err)
		c.perform(now, c.machine.AskFailed(now, a.Peer, a.Customer, a.ID))
		return
	}
	loan := syclimit.Loan{
		Amount: syclimit.MicroPermits(reply.GetAmount()),
		Valid:  time.Duration(reply.GetValidNano()),
		Spare:  syclimit.MicroPermits(reply.GetLeft()),
	}
	countReply(loan)
	c.perform(now, c.machine.Answer(now, a.Peer, a.Customer, a.ID, loan))
}

// countReply counts a reply to a request for a loan, and the permits in it.
func countReply(loan syclimit.Loan) {
	if loan.Amount == 0 {
		asksEmpty.Inc()
		return
	}
	asksLent.Inc()
	borrowed.AddInt64(int64(loan.Amount))
}

// Borrow lends permits to another VM. It implements sycpeer.BorrowHandler.
func (l *Limiter) Borrow(_ context.Context, in *sycpeerpb.BorrowRequest) (*sycpeerpb.BorrowReply, error) {
	reply := &sycpeerpb.BorrowReply{Id: in.GetId()}
	l.options.Loop.Do(func(now time.Duration) {
		loan := l.control.lend(now, in)
		reply.Amount = int64(loan.Amount)
		reply.ValidNano = int64(loan.Valid)
		reply.Left = int64(loan.Spare)
	})
	return reply, nil
}

// lend decides on another VM's request for a loan. Unknown customers get an empty loan.
func (c *control) lend(now time.Duration, in *sycpeerpb.BorrowRequest) syclimit.Loan {
	if _, ok := c.config.Customer(in.GetCustomer()); !ok {
		return syclimit.Loan{}
	}
	loan := c.machine.Lend(now, syclimit.LoanRequest{
		Borrower:    in.GetFrom().GetAddress(),
		Incarnation: in.GetFrom().GetIncarnation(),
		ID:          in.GetId(),
		Customer:    in.GetCustomer(),
		Amount:      syclimit.MicroPermits(in.GetAmount()),
		Shortage:    syclimit.MicroPermits(in.GetShortage()),
		Settled:     settled(in),
	}, c.limit(in.GetCustomer()))
	lent.AddInt64(int64(loan.Amount))
	return loan
}

// maxSettled limits the ended loans that are read from one request. Borrowers send fewer.
const maxSettled = 256

// settled returns the ended loans that a request reports, each with the permits that it
// returns.
func settled(in *sycpeerpb.BorrowRequest) []syclimit.Settled {
	ids := in.GetSettled()
	ids = ids[:min(len(ids), maxSettled)]
	list := make([]syclimit.Settled, 0, len(ids))
	for i, id := range ids {
		s := syclimit.Settled{ID: id}
		if i < len(in.GetReturned()) {
			s.Returned = syclimit.MicroPermits(in.GetReturned()[i])
		}
		list = append(list, s)
	}
	return list
}
