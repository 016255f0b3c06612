package replicator

import (
	"slices"
	"strings"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/wire"
)

// membership is a member list with the index from which it is in force. A
// member uses the last one in its log, committed or not.
type membership struct {
	index uint64
	list  *wire.Members
}

// instance returns the instance name of a member identity.
func instance(member string) string {
	name, _, _ := strings.Cut(member, "#")
	return name
}

func decodeMembers(data []byte) (*wire.Members, error) {
	if len(data) == 0 {
		return nil, nil
	}
	m := &wire.Members{}
	if err := proto.Unmarshal(data, m); err != nil {
		return nil, eris.Wrapf(fault.Corrupt, "members: %v", err)
	}
	if len(m.Voters) == 0 {
		return nil, eris.Wrap(fault.Corrupt, "members: no voters")
	}
	return m, nil
}

// members returns the list in force. The caller holds mu.
func (r *Replicator) members() *wire.Members {
	if len(r.lists) == 0 {
		return &wire.Members{}
	}
	return r.lists[len(r.lists)-1].list
}

// membersAt returns the list in force at an index. The caller holds mu.
func (r *Replicator) membersAt(index uint64) *wire.Members {
	list := &wire.Members{}
	for _, m := range r.lists {
		if m.index <= index {
			list = m.list
		}
	}
	return list
}

// enforce puts the member lists of new entries in force. The caller holds
// mu.
func (r *Replicator) enforce(batch []*wire.Entry) error {
	for _, entry := range batch {
		list, err := decodeMembers(entry.Members)
		if err != nil {
			return err
		}
		if list != nil {
			r.lists = append(r.lists, membership{entry.Index, list})
		}
	}
	return nil
}

// forget drops the lists from index on. The caller holds mu.
func (r *Replicator) forget(index uint64) {
	r.lists = slices.DeleteFunc(r.lists, func(m membership) bool { return m.index >= index && m.index > 0 })
}

// condense keeps, of the lists up to index, only the last. The caller holds
// mu.
func (r *Replicator) condense(index uint64) {
	for len(r.lists) > 1 && r.lists[1].index <= index {
		r.lists = r.lists[1:]
	}
}

func isVoter(m *wire.Members, member string) bool { return slices.Contains(m.Voters, member) }

func learnerOf(m *wire.Members, member string) *wire.Learner {
	for _, l := range m.Learners {
		if l.Member == member {
			return l
		}
	}
	return nil
}

// quorum tells whether the voters for which ok holds are a majority.
func quorum(voters []string, ok func(member string) bool) bool {
	count := 0
	for _, v := range voters {
		if ok(v) {
			count++
		}
	}
	return count > len(voters)/2
}
