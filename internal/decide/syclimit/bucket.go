package syclimit

import (
	"math"
	"math/bits"
	"slices"
	"time"
)

const (
	// nanoPerMicro and carryPerMicro convert accrual to micro-permits: a
	// bucket's speed, in nano-permits per second, times elapsed nanoseconds.
	nanoPerMicro  = 1000
	carryPerMicro = nanoPerMicro * uint64(time.Second)
	// maxAccrual is the longest time for which permits accrue at once.
	maxAccrual = time.Hour
)

// loanKey identifies a loan at its lender: the borrower's address, the
// incarnation of its process and the ID of its Ask.
type loanKey struct {
	borrower    string
	incarnation string
	id          uint64
}

// lentLoan is a loan that this VM granted to a peer.
type lentLoan struct {
	key    loanKey
	amount MicroPermits
	// expires is when the borrower can no longer spend the loan, even if the
	// two clocks differ by the clock error.
	expires time.Duration
}

// borrowedLoan is a loan that this VM got from a peer.
type borrowedLoan struct {
	// lender is the address of the peer that lent.
	lender string
	// id is the ID of the Ask that the loan answered.
	id uint64
	// amount is the part of the loan that is neither spent nor converted to own
	// permits.
	amount MicroPermits
	// received is when the loan arrived, and expires when it may no longer be
	// spent.
	received time.Duration
	expires  time.Duration
}

// bucket is the token bucket of one customer on one VM. Its capacity is the
// VM's fraction of the burst, see Machine.capacity.
type bucket struct {
	limit Limit
	// own is what this VM may spend or lend of the permits that accrued here or
	// were converted from loans. It is at most the capacity less lent, and
	// never negative.
	own MicroPermits
	// carry is the accrued part of the next micro-permit, in units of
	// 1/carryPerMicro.
	carry uint64
	// accruedAt is the time up to which own has accrued.
	accruedAt time.Duration
	// lent is the sum of lentLoans, which are ordered by expires.
	lent      MicroPermits
	lentLoans []lentLoan
	// borrowed is ordered by expires.
	borrowed []borrowedLoan
}

// accrue adds the permits of the time up to now. speed is in nano-permits per
// second.
func (b *bucket) accrue(now time.Duration, speed uint64, capacity MicroPermits) {
	b.expireLent(now)
	elapsed := min(now-b.accruedAt, maxAccrual)
	if elapsed <= 0 {
		b.clip(capacity)
		return
	}
	b.accruedAt = now
	hi, lo := bits.Mul64(speed, uint64(elapsed))
	lo, carryOut := bits.Add64(lo, b.carry, 0)
	hi += carryOut
	if hi >= carryPerMicro {
		b.own = math.MaxInt64
		b.clip(capacity)
		return
	}
	gained, rest := bits.Div64(hi, lo, carryPerMicro)
	b.carry = rest
	b.own += MicroPermits(min(gained, math.MaxInt64/2))
	b.clip(capacity)
}

// clip drops own permits above the capacity less what is lent.
func (b *bucket) clip(capacity MicroPermits) {
	room := max(capacity-b.lent, 0)
	if b.own >= room {
		b.own = room
		b.carry = 0
	}
}

// expireLent removes the lent loans that their borrowers can no longer spend.
func (b *bucket) expireLent(now time.Duration) {
	n := 0
	for n < len(b.lentLoans) && b.lentLoans[n].expires <= now {
		b.lent -= b.lentLoans[n].amount
		n++
	}
	b.lentLoans = slices.Delete(b.lentLoans, 0, n)
}

// settle ends a lent loan that its borrower reported as ended and puts the
// permits that were not spent back into the bucket.
func (b *bucket) settle(key loanKey, returned MicroPermits) {
	i := slices.IndexFunc(b.lentLoans, func(l lentLoan) bool { return l.key == key })
	if i < 0 {
		return
	}
	b.lent -= b.lentLoans[i].amount
	b.own += min(max(returned, 0), b.lentLoans[i].amount)
	b.lentLoans = slices.Delete(b.lentLoans, i, i+1)
}

// lend debits a loan. The caller has checked that own covers the amount.
func (b *bucket) lend(l lentLoan) {
	b.own -= l.amount
	b.lent += l.amount
	b.lentLoans = append(b.lentLoans, l)
}

func (b *bucket) hasLent(key loanKey) bool {
	return slices.ContainsFunc(b.lentLoans, func(l lentLoan) bool { return l.key == key })
}

// expireBorrowed drops borrowed loans that have expired.
func (b *bucket) expireBorrowed(now time.Duration) {
	b.borrowed = slices.DeleteFunc(b.borrowed, func(l borrowedLoan) bool { return l.expires <= now })
}

// borrowedTotal returns the sum of borrowed loans.
func (b *bucket) borrowedTotal() MicroPermits {
	var sum MicroPermits
	for _, l := range b.borrowed {
		sum += l.amount
	}
	return sum
}

// addBorrowed adds a loan, trimmed so that own and borrowed permits stay within
// the burst.
func (b *bucket) addBorrowed(l borrowedLoan) {
	l.amount = max(min(l.amount, b.limit.burst-b.own-b.borrowedTotal()), 0)
	i, _ := slices.BinarySearchFunc(b.borrowed, l, func(a, b borrowedLoan) int {
		return int(min(max(a.expires-b.expires, -1), 1))
	})
	b.borrowed = slices.Insert(b.borrowed, i, l)
}

// removeBorrowed removes and returns the borrowed loans that meet a condition.
func (b *bucket) removeBorrowed(condition func(l borrowedLoan) bool) []borrowedLoan {
	var list []borrowedLoan
	b.borrowed = slices.DeleteFunc(b.borrowed, func(l borrowedLoan) bool {
		if !condition(l) {
			return false
		}
		list = append(list, l)
		return true
	})
	return list
}

// convertBorrowed turns borrowed permits into own ones, up to the capacity less
// what is lent. It returns the loans that are used up. Converted permits stay
// within this VM's capacity, so the lender may fill its own up again.
func (b *bucket) convertBorrowed(capacity MicroPermits) []borrowedLoan {
	room := max(capacity-b.lent, 0) - b.own
	n := 0
	for room > 0 && n < len(b.borrowed) {
		part := min(room, b.borrowed[n].amount)
		b.borrowed[n].amount -= part
		b.own += part
		room -= part
		if b.borrowed[n].amount > 0 {
			break
		}
		n++
	}
	used := slices.Clone(b.borrowed[:n])
	b.borrowed = slices.Delete(b.borrowed, 0, n)
	return used
}

// available returns the permits that can be spent.
func (b *bucket) available() MicroPermits { return b.own + b.borrowedTotal() }

// spend takes one permit, from borrowed loans first, and returns the loans that
// are used up. The caller has checked that a permit is available.
func (b *bucket) spend() []borrowedLoan {
	cost := Permit
	n := 0
	for cost > 0 && n < len(b.borrowed) {
		part := min(cost, b.borrowed[n].amount)
		b.borrowed[n].amount -= part
		cost -= part
		if b.borrowed[n].amount > 0 {
			break
		}
		n++
	}
	spent := slices.Clone(b.borrowed[:n])
	b.borrowed = slices.Delete(b.borrowed, 0, n)
	b.own -= cost
	return spent
}

// trimBorrowed drops borrowed permits above the burst, from the loans that
// expire last.
func (b *bucket) trimBorrowed(burst MicroPermits) {
	over := b.own + b.borrowedTotal() - burst
	for over > 0 && len(b.borrowed) > 0 {
		last := &b.borrowed[len(b.borrowed)-1]
		part := min(over, last.amount)
		last.amount -= part
		over -= part
		if last.amount == 0 {
			b.borrowed = b.borrowed[:len(b.borrowed)-1]
		}
	}
}
