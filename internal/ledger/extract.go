package ledger

import (
	"google.golang.org/protobuf/proto"

	"github.com/papayapond/papayapond/internal/wire"
)

// ExtractBills returns the bills that a zone has issued, read from a snapshot
// and journal records, for MergeBills in another zone. It also returns the time
// of the latest record in Unix nanoseconds. Either input may be empty. The
// identities of the bills may have expired.
func ExtractBills(zone string, snapshot []byte, records [][]byte) (bills []*wire.Bill, latest int64, err error) {
	add := func(record []byte) error {
		k, now, m, err := decode(record)
		if err != nil {
			return err
		}
		latest = max(latest, now)
		bills = append(bills, ownBills(zone, k, m)...)
		return nil
	}
	if err := forEachRecord(snapshot, add); err != nil {
		return nil, 0, err
	}
	for _, r := range records {
		if err := add(r); err != nil {
			return nil, 0, err
		}
	}
	return bills, latest, nil
}

// EncodeBills returns a record from which ExtractBills returns the bills.
// Answers that are too large to keep are left out.
func EncodeBills(bills []*wire.Bill) ([]byte, error) {
	batch := &wire.SettleRequest{}
	for _, b := range bills {
		batch.Bills = append(batch.Bills, withoutLargeAnswer(b))
	}
	return encode(recordSettle, 0, batch)
}

// ownBills returns the bills in a record that were issued by its own zone.
func ownBills(zone string, k kind, m proto.Message) []*wire.Bill {
	batch, ok := m.(*wire.SettleRequest)
	switch {
	case !ok:
		return nil
	case k == stateBill && len(batch.Bills) == 1 && batch.Bills[0].GetZone() == zone:
		return batch.Bills
	case k == recordSettle, k == recordKeep:
		for _, b := range batch.Bills {
			b.Zone = zone
		}
		return batch.Bills
	}
	return nil
}
