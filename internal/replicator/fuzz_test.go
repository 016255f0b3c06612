package replicator

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/papayapond/papayapond/internal/wire"
)

// Accepting a damaged ballot could let a member vote twice.
func FuzzBallot(f *testing.F) {
	data, err := encodeBallot(&wire.Ballot{Member: "a#1", Disk: "1", Started: true, Term: 7, Vote: "b", Disks: map[string]string{"b": "2"}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add(data[:len(data)-1])
	f.Add([]byte(ballotMagic))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		b, err := decodeBallot(data)
		if err != nil {
			return
		}
		again, err := encodeBallot(b)
		if err != nil {
			t.Fatal(err)
		}
		if c, err := decodeBallot(again); err != nil || !proto.Equal(b, c) {
			t.Errorf("got %v, %v, want %v", c, err, b)
		}
	})
}

// A damaged entry must be rejected with an error, not a panic.
func FuzzEntry(f *testing.F) {
	members, _ := proto.Marshal(&wire.Members{Voters: []string{"a"}, Learners: []*wire.Learner{{Member: "b#1", Replaces: "b"}}})
	for _, e := range []*wire.Entry{{Term: 1, Index: 5, Command: []byte("x")}, {Term: 2, Index: 5, Members: members}, {Index: 5}, {Term: 1, Index: 6}} {
		data, _ := proto.Marshal(e)
		f.Add(data, uint64(5))
		f.Add(data[:len(data)-1], uint64(5))
	}
	f.Fuzz(func(t *testing.T, data []byte, index uint64) {
		if e, err := decodeEntry(data, index); err == nil && (e.Index != index || e.Term == 0) {
			t.Errorf("got entry %d of term %d accepted, want entry %d with a nonzero term", e.Index, e.Term, index)
		}
	})
}

// A damaged snapshot must be rejected with an error, not a panic.
func FuzzImage(f *testing.F) {
	data, _ := proto.Marshal(&wire.Image{Index: 5, Term: 2, Members: &wire.Members{Voters: []string{"a"}}, Data: []byte("state")})
	f.Add(data)
	f.Add(data[:len(data)-2])
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		if i, err := decodeImage(data); err == nil && (i.Index == 0 || i.Term == 0 || len(i.Members.GetVoters()) == 0) {
			t.Errorf("got snapshot %v accepted, want an error", i)
		}
	})
}
