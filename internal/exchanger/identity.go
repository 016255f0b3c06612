package exchanger

// maxRefused is the number of refused requests after which a connection is
// closed, which bounds the memory for their IDs.
const maxRefused = 256

// origin tells which request a response belongs to.
type origin int

const (
	thisRequest     origin = iota // certainly
	probablyThis                  // no ID is echoed, but nothing suggests another request
	anotherRequest                // certainly
	possiblyEarlier               // no ID is echoed; may be a copy of an earlier response
)

// identify compares the ID of a request with the one echoed in a response, either
// of which may be "".
func (c *conn) identify(id, echo string) origin {
	switch {
	case echo != "" && echo != id:
		return anotherRequest
	case echo != "", id == "" && c.uses == 0:
		return thisRequest
	case id == "", c.uses == 0:
		return probablyThis
	default:
		return possiblyEarlier
	}
}

// id returns the ID of a request, or "".
func (q *Request) id(identity string) string {
	if identity == "" {
		return ""
	}
	return q.Header.Get(identity)
}

// recordRefusal records the ID of a request that the target has refused.
func (c *conn) recordRefusal(id string) {
	if c.refused == nil {
		c.refused = map[string]bool{}
	}
	c.refused[id] = true
}
