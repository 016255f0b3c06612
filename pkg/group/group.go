package group

// Kinds of targets.
const (
	// Engine is the kind of targets that run models.
	Engine = "engine"
	// Service is the kind of targets that offer plain services.
	Service = "service"
)

// Group is a set of targets.
type Group struct {
	// Name is the prefix of the names of the targets. No name of a group is a
	// prefix of another, so that a target belongs to one group at most.
	Name string `toml:"name"`
	// Kind is Engine or Service.
	Kind string `toml:"kind"`
	// Key is the hash of the key with which the targets announce themselves,
	// in the format of account.Hash.
	Key string `toml:"key"`
}

// New returns a group of targets of one kind.
func New(name, kind string) Group {
	return Group{Name: name, Kind: kind}
}

// WithKey returns a copy with the hash of another key.
func (g Group) WithKey(hash string) Group {
	g.Key = hash
	return g
}
