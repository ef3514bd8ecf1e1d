package syclimit

import (
	"math"
	"math/bits"
	"slices"
	"time"
)

const (
	// nanoPerMicro and unitsPerMicro convert a bucket's speed, in nano-tokens a
	// second, times nanoseconds into micro-tokens.
	nanoPerMicro  = 1000
	unitsPerMicro = nanoPerMicro * uint64(time.Second)
	// maxStep bounds the time that is accrued at once.
	maxStep = time.Hour
)

// loanKey names a loan at its lender.
type loanKey struct {
	borrower    string
	incarnation string
	id          uint64
}

// lentLoan is a loan at its lender.
type lentLoan struct {
	key    loanKey
	amount MicroPermits
	// release is when the borrower can surely no longer spend the loan.
	release time.Duration
}

// heldLoan is a loan at its borrower.
type heldLoan struct {
	lender string
	id     uint64
	// amount is what is left of the loan.
	amount  MicroPermits
	taken   time.Duration
	expires time.Duration
}

// bucket holds one customer's tokens on one VM.
type bucket struct {
	limit Limit
	// own is at most cap - lent, and never negative.
	own MicroPermits
	// carry is the accrued part of the next micro-token, in 1/unitsPerMicro.
	carry uint64
	// at is the time up to which own has accrued.
	at time.Duration
	// lent is the sum of loans, which are ordered by release.
	lent  MicroPermits
	loans []lentLoan
	// held is ordered by expires.
	held []heldLoan
}

// accrue adds the tokens of the time up to now. The cap is the fraction of the
// burst that this VM may hold; speed is in nano-tokens a second.
func (b *bucket) accrue(now time.Duration, speed uint64, limit MicroPermits) {
	b.release(now)
	step := min(now-b.at, maxStep)
	if step <= 0 {
		b.clip(limit)
		return
	}
	b.at = now
	hi, lo := bits.Mul64(speed, uint64(step))
	lo, over := bits.Add64(lo, b.carry, 0)
	hi += over
	if hi >= unitsPerMicro {
		b.own = math.MaxInt64
		b.clip(limit)
		return
	}
	gained, rest := bits.Div64(hi, lo, unitsPerMicro)
	b.carry = rest
	b.own += MicroPermits(min(gained, math.MaxInt64/2))
	b.clip(limit)
}

// clip drops own tokens above the cap less what is lent.
func (b *bucket) clip(limit MicroPermits) {
	most := max(limit-b.lent, 0)
	if b.own >= most {
		b.own = most
		b.carry = 0
	}
}

// release ends the loans that their borrowers can no longer spend.
func (b *bucket) release(now time.Duration) {
	n := 0
	for n < len(b.loans) && b.loans[n].release <= now {
		b.lent -= b.loans[n].amount
		n++
	}
	b.loans = slices.Delete(b.loans, 0, n)
}

// settle ends a loan that its borrower no longer holds and takes back what was
// not spent.
func (b *bucket) settle(key loanKey, returned MicroPermits) {
	i := slices.IndexFunc(b.loans, func(l lentLoan) bool { return l.key == key })
	if i < 0 {
		return
	}
	b.lent -= b.loans[i].amount
	b.own += min(max(returned, 0), b.loans[i].amount)
	b.loans = slices.Delete(b.loans, i, i+1)
}

// lend debits a loan; the caller has checked the amount.
func (b *bucket) lend(l lentLoan) {
	b.own -= l.amount
	b.lent += l.amount
	b.loans = append(b.loans, l)
}

func (b *bucket) hasLent(key loanKey) bool {
	return slices.ContainsFunc(b.loans, func(l lentLoan) bool { return l.key == key })
}

// expire drops held loans whose time has passed.
func (b *bucket) expire(now time.Duration) {
	b.held = slices.DeleteFunc(b.held, func(l heldLoan) bool { return l.expires <= now })
}

// borrowed is the sum of held loans.
func (b *bucket) borrowed() MicroPermits {
	var sum MicroPermits
	for _, l := range b.held {
		sum += l.amount
	}
	return sum
}

// hold adds a loan, trimmed so that the VM holds no more than the burst.
func (b *bucket) hold(l heldLoan) {
	l.amount = max(min(l.amount, b.limit.burst-b.own-b.borrowed()), 0)
	i, _ := slices.BinarySearchFunc(b.held, l, func(a, b heldLoan) int {
		return int(min(max(a.expires-b.expires, -1), 1))
	})
	b.held = slices.Insert(b.held, i, l)
}

// take removes the held loans for which a condition is true.
func (b *bucket) take(condition func(l heldLoan) bool) []heldLoan {
	var list []heldLoan
	b.held = slices.DeleteFunc(b.held, func(l heldLoan) bool {
		if !condition(l) {
			return false
		}
		list = append(list, l)
		return true
	})
	return list
}

// absorb turns held loans into own tokens as far as these stay below the cap
// less what is lent, and returns the loans that are now over. The tokens stay
// within the caps of the VMs that hold them, so the lender may have its room back.
func (b *bucket) absorb(limit MicroPermits) []heldLoan {
	room := max(limit-b.lent, 0) - b.own
	n := 0
	for room > 0 && n < len(b.held) {
		part := min(room, b.held[n].amount)
		b.held[n].amount -= part
		b.own += part
		room -= part
		if b.held[n].amount > 0 {
			break
		}
		n++
	}
	over := slices.Clone(b.held[:n])
	b.held = slices.Delete(b.held, 0, n)
	return over
}

// available is what can be spent.
func (b *bucket) available() MicroPermits { return b.own + b.borrowed() }

// spend takes one token, borrowed parts first, and returns the loans that are
// now spent. The caller has checked that a token is available.
func (b *bucket) spend() []heldLoan {
	due := Permit
	n := 0
	for due > 0 && n < len(b.held) {
		part := min(due, b.held[n].amount)
		b.held[n].amount -= part
		due -= part
		if b.held[n].amount > 0 {
			break
		}
		n++
	}
	spent := slices.Clone(b.held[:n])
	b.held = slices.Delete(b.held, 0, n)
	b.own -= due
	return spent
}

// trim drops held tokens above the burst.
func (b *bucket) trim(burst MicroPermits) {
	over := b.own + b.borrowed() - burst
	for over > 0 && len(b.held) > 0 {
		last := &b.held[len(b.held)-1]
		part := min(over, last.amount)
		last.amount -= part
		over -= part
		if last.amount == 0 {
			b.held = b.held[:len(b.held)-1]
		}
	}
}
