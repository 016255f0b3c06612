package ledger

import (
	"time"
	"unique"

	"github.com/papayapond/papayapond/internal/wire"
)

const (
	// identityTTL is how long a billed request is recognized.
	identityTTL = 24 * time.Hour
	// maxIdentityAge bounds how long an identity is kept for an unreachable
	// zone. Otherwise a zone that never returns would fill the memory.
	maxIdentityAge = 7 * identityTTL
	// answerTTL is how long the answer of a billed request is kept.
	answerTTL = 10 * time.Minute
	// maxAnswerBytes bounds one kept answer.
	maxAnswerBytes = 256 << 10
	// maxTotalAnswerBytes bounds all kept answers; the oldest are dropped
	// first. This keeps a holder within half of the 128 MB that it has for
	// control.
	maxTotalAnswerBytes = 64 << 20
	// minExpireSteps bounds the entries that one call drops, in addition to two
	// for each bill that it adds.
	minExpireSteps = 8
)

// entry is a billed request. Repeated strings are interned.
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

// bill converts the entry to a message.
func (e *entry) bill() *wire.Bill {
	return &wire.Bill{
		Account: e.account.name, Request: e.request, Digest: []byte(e.digest), Model: e.model.Value(),
		Prompt: e.prompt, Output: e.output, Amount: e.amount, Reserved: e.reserved, Time: e.billed,
		Answer: e.answer, Media: e.media.Value(), Status: e.status, Zone: e.zone.Value(),
		Target: e.target.Value(), Keyed: e.keyed,
	}
}

// FindBill returns the bill of a request if its identity is known, and whether
// it was billed with another digest. The answer is empty if it is no longer
// kept.
func (l *Ledger) FindBill(account, request string, digest []byte) (bill *wire.Bill, conflict bool) {
	l.mu.Lock()
	e := l.lookup(account, request, l.now())
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

// Bills returns bills of this zone for an account, oldest first. Bills are kept
// as long as their identities; the totals also include older ones.
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

// lookup returns the entry of an identity that has not expired, or nil.
func (l *Ledger) lookup(account, request string, now int64) *entry {
	e := l.lookupExpired(account, request)
	if e == nil || now-e.recorded >= int64(identityTTL) {
		return nil
	}
	return e
}

// lookupExpired returns the entry of an identity, or nil. The entry may have
// expired and be kept only until the bills of other zones are merged.
func (l *Ledger) lookupExpired(account, request string) *entry {
	if a, ok := l.accounts[account]; ok {
		return a.identities[request]
	}
	return nil
}

// addIdentity stores the identity of a bill. If the identity is known, its
// entry takes the values of the bill and keeps its position.
func (l *Ledger) addIdentity(a *account, b *wire.Bill, zone string, now int64) {
	e := a.identities[b.Request]
	if e != nil && now-e.recorded >= int64(identityTTL) {
		l.removeIdentity(e)
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
	if e.answer == nil && len(b.Answer) > 0 && l.now()-e.recorded < int64(answerTTL) {
		e.answer = b.Answer
		l.answerBytes += len(e.answer)
		l.answers = append(l.answers, e)
	}
}

// removeIdentity removes an entry. The queues still contain it and skip it.
func (l *Ledger) removeIdentity(e *entry) {
	l.dropAnswer(e)
	delete(e.account.identities, e.request)
	e.account.bills = removeEntry(e.account.bills, e)
	e.request = ""
}

// dropAnswer drops the answer of an entry.
func (l *Ledger) dropAnswer(e *entry) {
	l.answerBytes -= len(e.answer)
	e.answer = nil
}

// expire drops old identities and answers. Its work is bounded by the number of
// bills that the caller adds.
func (l *Ledger) expire(now int64, bills int) {
	steps := minExpireSteps + 2*bills
	for n := 0; n < steps && len(l.answers) > 0; n++ {
		e := l.answers[0]
		if now-e.recorded < int64(answerTTL) && l.answerBytes <= maxTotalAnswerBytes {
			break
		}
		l.dropAnswer(e)
		l.answers[0], l.answers = nil, l.answers[1:]
	}
	exchanged := now
	if l.cfg.ExchangedUntil != nil {
		exchanged = l.cfg.ExchangedUntil().UnixNano()
	}
	for n := 0; n < steps && len(l.identities) > 0; n++ {
		// Another zone may have billed a retry until the identity expired
		// there, so the entry must be kept until the bills of that time are
		// exchanged.
		age := now - l.identities[0].recorded
		if age < int64(identityTTL) || age < int64(maxIdentityAge) && exchanged-l.identities[0].recorded < int64(identityTTL) {
			break
		}
		e := l.identities[0]
		l.identities[0], l.identities = nil, l.identities[1:]
		if e.request != "" {
			l.removeIdentity(e)
		}
	}
}

// removeEntry removes an entry from a list. Entries expire in list order, so
// it is near the front.
func removeEntry(list []*entry, e *entry) []*entry {
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
