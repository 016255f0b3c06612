package ledger

import (
	"time"
	"unique"

	"github.com/papayapond/papayapond/internal/wire"
)

const (
	// identityTime is how long a billed request is recognised.
	identityTime = 24 * time.Hour
	// identityLimit bounds how long an identity waits for a zone that is cut
	// off, so that a zone that never returns doesn't fill the memory.
	identityLimit = 7 * identityTime
	// answerTime is how long its answer is kept.
	answerTime = 10 * time.Minute
	// answerBytes bounds one kept answer.
	answerBytes = 256 << 10
	// answersBytes bounds all kept answers; the oldest are dropped first.
	// It keeps a holder within half of its 128 MB for control.
	answersBytes = 64 << 20
	// expireStep bounds the entries that one call drops, beyond two for each
	// bill that it adds.
	expireStep = 8
)

// entry is a billed request. Values that repeat are shared.
type entry struct {
	account                    *account
	request, digest            string
	model, media, target, zone unique.Handle[string]
	prompt, output             int64
	amount, reserved           int64
	billed                     int64 // time of the bill
	recorded                   int64 // time of the record
	submitted                  uint64
	answer                     []byte
	status                     int32
	keyed                      bool
}

// bill returns the entry as a message.
func (e *entry) bill() *wire.Bill {
	return &wire.Bill{
		Account: e.account.name, Request: e.request, Digest: []byte(e.digest), Model: e.model.Value(),
		Prompt: e.prompt, Output: e.output, Amount: e.amount, Reserved: e.reserved, Time: e.billed,
		Answer: e.answer, Media: e.media.Value(), Status: e.status, Zone: e.zone.Value(),
		Target: e.target.Value(), Keyed: e.keyed,
	}
}

// FindBill returns the bill of a request if its identity is known, and whether it
// was billed with another digest. The answer is missing if it is no longer
// kept.
func (l *Ledger) FindBill(account, request string, digest []byte) (bill *wire.Bill, conflict bool) {
	l.mu.Lock()
	e := l.find(account, request, l.now())
	if e == nil {
		l.mu.Unlock()
		return nil, false
	}
	bill, conflict = e.bill(), e.digest != string(digest)
	if e.submitted <= l.durable.Load() {
		l.mu.Unlock()
		return bill, conflict
	}
	if _, err := l.store(); err != nil {
		return nil, false
	}
	return bill, conflict
}

// Bills returns kept bills of this zone for an account, oldest first. Bills
// are kept as long as their identities; the totals include older ones.
func (l *Ledger) Bills(account string, offset, limit int) []*wire.Bill {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, ok := l.accounts[account]
	if !ok {
		return nil
	}
	var bills []*wire.Bill
	own := unique.Make(l.cfg.Zone)
	for _, e := range a.bills {
		if e.zone != own {
			continue
		}
		if offset--; offset >= 0 {
			continue
		}
		if len(bills) == limit {
			break
		}
		bills = append(bills, e.bill())
	}
	return bills
}

// find returns the entry of an identity that has not expired, or nil.
func (l *Ledger) find(account, request string, now int64) *entry {
	e := l.retained(account, request)
	if e == nil || now-e.recorded >= int64(identityTime) {
		return nil
	}
	return e
}

// retained returns the entry of an identity, which may have expired and wait
// for the bills of other zones, or nil.
func (l *Ledger) retained(account, request string) *entry {
	if a, ok := l.accounts[account]; ok {
		return a.identities[request]
	}
	return nil
}

// remember keeps the identity of a bill. If it is known already, the entry
// takes the values of the bill and keeps its place.
func (l *Ledger) remember(a *account, b *wire.Bill, zone string, now int64) {
	e := a.identities[b.Request]
	if e != nil && now-e.recorded >= int64(identityTime) {
		l.forget(e)
		e = nil
	}
	if e == nil {
		e = &entry{account: a, request: b.Request, recorded: now}
		if a.identities == nil {
			a.identities = map[string]*entry{}
		}
		a.identities[e.request] = e
		a.bills = append(a.bills, e)
		l.identities = append(l.identities, e)
	}
	e.digest, e.model, e.media = string(b.Digest), unique.Make(b.Model), unique.Make(b.Media)
	e.target, e.zone = unique.Make(b.Target), unique.Make(zone)
	e.prompt, e.output, e.amount, e.reserved = b.Prompt, b.Output, b.Amount, b.Reserved
	e.billed, e.status, e.keyed, e.submitted = b.Time, b.Status, b.Keyed, l.submitted+1
	if e.answer == nil && len(b.Answer) > 0 && l.now()-e.recorded < int64(answerTime) {
		e.answer = b.Answer
		l.kept += len(e.answer)
		l.answers = append(l.answers, e)
	}
}

// forget drops an entry that is still in the queues, which pass over it.
func (l *Ledger) forget(e *entry) {
	l.drop(e)
	delete(e.account.identities, e.request)
	e.account.bills = remove(e.account.bills, e)
	e.request = ""
}

// drop forgets the answer of an entry.
func (l *Ledger) drop(e *entry) {
	l.kept -= len(e.answer)
	e.answer = nil
}

// expire drops old identities and answers, with work bounded by the bills
// that the caller adds.
func (l *Ledger) expire(now int64, bills int) {
	steps := expireStep + 2*bills
	for n := 0; n < steps && len(l.answers) > 0; n++ {
		e := l.answers[0]
		if now-e.recorded < int64(answerTime) && l.kept <= answersBytes {
			break
		}
		l.drop(e)
		l.answers[0], l.answers = nil, l.answers[1:]
	}
	exchanged := now
	if l.cfg.ExchangedUntil != nil {
		exchanged = l.cfg.ExchangedUntil().UnixNano()
	}
	for n := 0; n < steps && len(l.identities) > 0; n++ {
		// Another zone may have billed a retry at any time while it
		// recognised the request, so that the entry must last until the bills
		// of that time are exchanged.
		age := now - l.identities[0].recorded
		if age < int64(identityTime) || age < int64(identityLimit) && exchanged-l.identities[0].recorded < int64(identityTime) {
			break
		}
		e := l.identities[0]
		l.identities[0], l.identities = nil, l.identities[1:]
		if e.request != "" {
			l.forget(e)
		}
	}
}

// remove takes an entry out of a list. Entries expire in the order of the
// list, so that it is near the front.
func remove(list []*entry, e *entry) []*entry {
	for i := range list {
		if list[i] != e {
			continue
		}
		if i == 0 {
			list[0] = nil
			return list[1:]
		}
		return append(list[:i], list[i+1:]...)
	}
	return list
}
