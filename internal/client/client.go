package client

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/papayapond/papayapond/internal/fault"
)

// Config configures a Client.
type Config struct {
	// Address is the host:port of the operator API of an instance.
	Address string
	// Key is the operator key.
	Key string
	// HTTP is the client to use; nil selects http.DefaultClient.
	HTTP *http.Client
	// MaxBytes is the maximum size of a response; 0 selects 64 MiB, which exceeds the
	// listing of the largest fleet.
	MaxBytes int64
}

// defaultMaxBytes is the default of Config.MaxBytes.
const defaultMaxBytes = 64 << 20

// Client calls one instance. Its errors wrap the error kind from the response,
// or fault.Unavailable if the instance is unreachable.
type Client struct {
	cfg Config
}

// New returns a client.
func New(cfg Config) *Client {
	if cfg.HTTP == nil {
		cfg.HTTP = http.DefaultClient
	}
	if cfg.MaxBytes == 0 {
		cfg.MaxBytes = defaultMaxBytes
	}
	return &Client{cfg: cfg}
}

// Call sends a request and returns the response body. It sends a []byte body
// unchanged and encodes any other body as JSON.
func (c *Client) Call(ctx context.Context, method, path string, body any) ([]byte, error) {
	var reader io.Reader
	switch b := body.(type) {
	case nil:
	case []byte:
		reader = bytes.NewReader(b)
	default:
		text, err := json.Marshal(b)
		if err != nil {
			return nil, eris.Wrap(err, "encode request")
		}
		reader = bytes.NewReader(text)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.cfg.Address+path, reader)
	if err != nil {
		return nil, eris.Wrapf(fault.Malformed, "%v", err)
	}
	request.Header.Set("Authorization", "Bearer "+c.cfg.Key)
	response, err := c.cfg.HTTP.Do(request)
	if err != nil {
		return nil, eris.Wrapf(fault.Unavailable, "%v", err)
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(response.Body, c.cfg.MaxBytes+1))
	if err != nil {
		return nil, eris.Wrapf(fault.Unavailable, "%v", err)
	}
	if int64(len(answer)) > c.cfg.MaxBytes {
		return nil, eris.Wrapf(fault.Malformed, "response exceeds %d bytes", c.cfg.MaxBytes)
	}
	if response.StatusCode == http.StatusOK {
		return answer, nil
	}
	var errorResponse struct {
		Error struct {
			Code    string `json:"code"`
			Message string `json:"message"`
		} `json:"error"`
	}
	if err := json.Unmarshal(answer, &errorResponse); err != nil || errorResponse.Error.Code == "" {
		return nil, eris.Wrapf(fault.Internal, "status %d: %s", response.StatusCode, answer)
	}
	// Strip the text of the kind from the message, since wrapping adds it
	// again.
	kind := fault.Parse(errorResponse.Error.Code)
	message := errorResponse.Error.Message
	for strings.HasSuffix(message, ": "+kind.Error()) {
		message = strings.TrimSuffix(message, ": "+kind.Error())
	}
	return nil, eris.Wrap(kind, message)
}
