package measurer

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/papayapond/papayapond/internal/configuration"
	"github.com/papayapond/papayapond/internal/registry"
	"github.com/papayapond/papayapond/internal/wire"
)

// The cost of a change of one account, by the size of the configuration.
func BenchmarkChange(b *testing.B) {
	for _, accounts := range []int{10, 3_700, 190_000} {
		old, err := configuration.Parse(document(1, 0, accounts))
		if err != nil {
			b.Fatal(err)
		}
		change, err := next(old)
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprintf("print/%d", accounts), func(b *testing.B) {
			for b.Loop() {
				old.Text()
			}
			b.ReportMetric(float64(len(old.Text())), "B-document")
		})
		b.Run(fmt.Sprintf("parse/%d", accounts), func(b *testing.B) {
			text := old.Text()
			for b.Loop() {
				if _, err := configuration.Parse(text); err != nil {
					b.Fatal(err)
				}
			}
		})
		b.Run(fmt.Sprintf("parts/%d", accounts), func(b *testing.B) {
			for b.Loop() {
				add := configuration.Assemble(1)
				for part := range old.Chunks(256 << 10) {
					if _, err := add(part); err != nil {
						b.Fatal(err)
					}
				}
			}
		})
		b.Run(fmt.Sprintf("sections/%d", accounts), func(b *testing.B) {
			for b.Loop() {
				if _, err := old.With(change.Sections, change.Version); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(proto.Size(&wire.Update{Version: 2, Replaces: 1, Sections: change.Sections})), "B-update")
		})
	}
}

// The cost of an announcement and of a look at the changes, by the number of
// targets.
func BenchmarkRegistry(b *testing.B) {
	for _, targets := range []int{12, 300, 3_100} {
		r := registry.New(registry.Config{})
		all := make([]*wire.Target, targets)
		for i := range all {
			all[i] = &wire.Target{Name: fmt.Sprintf("engine-%04d", i), Zone: "a", Models: []string{"papaya-small"}, State: registry.Ready}
			r.Announce(all[i])
		}
		b.Run(fmt.Sprintf("announce/%d", targets), func(b *testing.B) {
			for i := 0; b.Loop(); i++ {
				r.Announce(all[i%targets])
			}
		})
		b.Run(fmt.Sprintf("since/%d", targets), func(b *testing.B) {
			_, sequence, _ := r.ChangesSince("", 0)
			for b.Loop() {
				r.ChangesSince("", sequence)
			}
		})
		b.Run(fmt.Sprintf("ready/%d", targets), func(b *testing.B) {
			for b.Loop() {
				r.Ready("a", "papaya-small", "")
			}
		})
		// Each list is used once before the next announcement changes it, which
		// makes it a copy.
		b.Run(fmt.Sprintf("announce+ready/%d", targets), func(b *testing.B) {
			for i := 0; b.Loop(); i++ {
				r.Announce(all[i%targets])
				r.Ready("a", "papaya-small", "")
				r.Ready("", "papaya-small", "")
			}
		})
	}
}
