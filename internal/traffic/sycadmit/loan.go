package sycadmit

import (
	"context"
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/syclimit"
	"sycamorecart.example/sycamorecart/internal/peer/sycpeerpb"
)

// borrow sends a request for tokens; its answer is posted to the loop.
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
		l.options.Loop.Post(func(now time.Duration) { l.control.answer(now, a, reply, err) })
		return nil
	})
}

// answer passes a loan, or its failure, to the machine.
func (c *control) answer(now time.Duration, a syclimit.Ask, reply *sycpeerpb.BorrowReply, err error) {
	if err != nil || reply.GetAmount() < 0 {
		asksFailed.Inc()
		log.Debugf("VM %s lent nothing: %v", a.Peer, err)
		c.perform(now, c.machine.AskFailed(now, a.Peer, a.Customer, a.ID))
		return
	}
	loan := syclimit.Loan{
		Amount: syclimit.MicroPermits(reply.GetAmount()),
		Valid:  time.Duration(reply.GetValidNano()),
		Spare:  syclimit.MicroPermits(reply.GetLeft()),
	}
	countAnswer(loan)
	c.perform(now, c.machine.Answer(now, a.Peer, a.Customer, a.ID, loan))
}

func countAnswer(loan syclimit.Loan) {
	if loan.Amount == 0 {
		asksEmpty.Inc()
		return
	}
	asksAnswered.Inc()
	borrowed.AddInt64(int64(loan.Amount))
}

// Borrow lends tokens to another VM. It implements sycpeer.BorrowHandler.
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

// maxSettled bounds the reported loans that one request may carry; a borrower
// sends fewer.
const maxSettled = 256

// settled pairs the loans that a request reports with what they return.
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
