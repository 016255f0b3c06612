package measurer

import (
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/papayapond/papayapond/internal/configuration"
	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/wire"
	"github.com/papayapond/papayapond/pkg/printer"
)

// controllerCommand encodes a change as the log does.
type controllerCommand struct{ change *wire.Configure }

func (c *controllerCommand) encode() ([]byte, error) {
	return proto.Marshal(&wire.Command{Change: &wire.Command_Configure{Configure: c.change}})
}

// result returns the error of an encoded reply.
func result(data []byte) error {
	reply := &wire.ProposeReply{}
	if err := proto.Unmarshal(data, reply); err != nil {
		return eris.Wrapf(fault.Internal, "reply: %v", err)
	}
	return reply.Fault.Err()
}

// next returns the change to the version after the given one, of one account.
func next(old *configuration.Configuration) (*wire.Configure, error) {
	version := old.Version() + 1
	c, err := configuration.Parse(document(1, 0, 1))
	if err != nil {
		return nil, err
	}
	v := c.Venture()
	v.Accounts = v.Accounts[:0:0]
	c, err = configuration.Parse(printer.Text(v.WithAccounts(changed(0, int64(version)))))
	if err != nil {
		return nil, err
	}
	sections := c.Sections()
	return &wire.Configure{Version: version, Replaces: old.Version(), Sections: sections[1:], Zones: []string{"a"}}, nil
}
