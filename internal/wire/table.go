package wire

const (
	// unreadUnit and memoryUnit are the units of a Table, in tokens.
	unreadUnit = 16
	memoryUnit = 256
)

// Append adds the load of the next target.
func (x *Table) Append(l *Load) {
	if l.Silence > 0 {
		x.Silent = append(x.Silent, uint32(len(x.Running)))
		x.Silence = append(x.Silence, uint32(min(l.Silence, 1<<31)))
	}
	x.Running = append(x.Running, uint32(max(l.Running, 0)))
	x.Unread = append(x.Unread, units(l.Unread, unreadUnit))
	x.Memory = append(x.Memory, units(l.Memory, memoryUnit))
}

// units rounds a number of tokens up to units.
func units(tokens, unit int64) uint32 {
	return uint32(min((max(tokens, 0)+unit-1)/unit, 1<<31))
}

// Loads returns the loads of n targets in their order, or nil if the table has another
// number of them.
func (x *Table) Loads(n int) []*Load {
	if len(x.Running) != n || len(x.Unread) != n || len(x.Memory) != n || len(x.Silent) != len(x.Silence) {
		return nil
	}
	list := make([]*Load, n)
	for i := range list {
		list[i] = &Load{Running: int32(x.Running[i]), Unread: int64(x.Unread[i]) * unreadUnit, Memory: int64(x.Memory[i]) * memoryUnit}
	}
	for i, position := range x.Silent {
		if int(position) < n {
			list[position].Silence = int64(x.Silence[i])
		}
	}
	return list
}
