package ledger

import (
	"google.golang.org/protobuf/proto"

	"github.com/papayapond/papayapond/internal/wire"
)

// Extract returns the bills of a zone in a snapshot and records of its
// journal, for Merge in another zone. Either may be empty. Their identities
// may have expired.
func Extract(zone string, snapshot []byte, records [][]byte) ([]*wire.Bill, error) {
	var bills []*wire.Bill
	add := func(record []byte) error {
		k, _, m, err := decode(record)
		if err != nil {
			return err
		}
		bills = append(bills, own(zone, k, m)...)
		return nil
	}
	if err := split(snapshot, add); err != nil {
		return nil, err
	}
	for _, r := range records {
		if err := add(r); err != nil {
			return nil, err
		}
	}
	return bills, nil
}

// Pack returns a record from which Extract returns the bills, without answers
// that are too large to be kept.
func Pack(bills []*wire.Bill) ([]byte, error) {
	batch := &wire.SettleRequest{}
	for _, b := range bills {
		batch.Bills = append(batch.Bills, trim(b))
	}
	return encode(recordSettle, 0, batch)
}

// own returns the bills of a record that its zone has billed.
func own(zone string, k kind, m proto.Message) []*wire.Bill {
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
