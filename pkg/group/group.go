package group

// Kinds of targets.
const (
	// Engine targets run models.
	Engine = "engine"
	// Service targets offer plain services.
	Service = "service"
)

// Group is a set of targets.
type Group struct {
	// Name is the name prefix of the targets. No group name is a prefix of
	// another, so that a target belongs to at most one group.
	Name string `toml:"name"`
	// Kind is Engine or Service.
	Kind string `toml:"kind"`
	// Key is the hash of the key that authenticates the announcements of the
	// targets, in the format of account.Hash.
	Key string `toml:"key"`
}

// New returns a group of targets of one kind.
func New(name, kind string) Group {
	return Group{Name: name, Kind: kind}
}

// WithKey returns a copy with the hash of a different key.
func (g Group) WithKey(hash string) Group {
	g.Key = hash
	return g
}
