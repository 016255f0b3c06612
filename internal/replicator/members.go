package replicator

import (
	"slices"
	"strings"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/wire"
)

// membership is a member list and the index at which it takes effect. A
// member uses the latest list in its log, even if it is not committed.
type membership struct {
	index   uint64
	members *wire.Members
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

// members returns the current member list. The caller holds mu.
func (r *Replicator) members() *wire.Members {
	if len(r.memberships) == 0 {
		return &wire.Members{}
	}
	return r.memberships[len(r.memberships)-1].members
}

// membersAt returns the member list in effect at index. The caller holds mu.
func (r *Replicator) membersAt(index uint64) *wire.Members {
	list := &wire.Members{}
	for _, m := range r.memberships {
		if m.index <= index {
			list = m.members
		}
	}
	return list
}

// addMemberships records the member lists in new entries. The caller holds
// mu.
func (r *Replicator) addMemberships(batch []*wire.Entry) error {
	for _, entry := range batch {
		list, err := decodeMembers(entry.Members)
		if err != nil {
			return err
		}
		if list != nil {
			r.memberships = append(r.memberships, membership{entry.Index, list})
		}
	}
	return nil
}

// truncateMemberships drops the member lists from index on. The caller holds
// mu.
func (r *Replicator) truncateMemberships(index uint64) {
	r.memberships = slices.DeleteFunc(r.memberships, func(m membership) bool { return m.index >= index && m.index > 0 })
}

// compactMemberships keeps only the last of the member lists up to index. The
// caller holds mu.
func (r *Replicator) compactMemberships(index uint64) {
	for len(r.memberships) > 1 && r.memberships[1].index <= index {
		r.memberships = r.memberships[1:]
	}
}

func isVoter(m *wire.Members, member string) bool { return slices.Contains(m.Voters, member) }

func findLearner(m *wire.Members, member string) *wire.Learner {
	for _, l := range m.Learners {
		if l.Member == member {
			return l
		}
	}
	return nil
}

// hasMajority reports whether ok holds for a majority of the voters.
func hasMajority(voters []string, ok func(member string) bool) bool {
	count := 0
	for _, v := range voters {
		if ok(v) {
			count++
		}
	}
	return count > len(voters)/2
}
