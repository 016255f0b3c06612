package streamer_test

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/streamer"
)

// A stream that breaks off inside an event must end after the whole event
// before it, so that the next target goes on without a gap or a repeat.
func TestNext(t *testing.T) {
	for _, test := range []struct {
		text  string
		want  []string
		id    string
		whole bool
	}{
		{"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", []string{"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"}, "2", true},
		{"id: 1\r\ndata: a\r\n\r\n", []string{"id: 1\r\ndata: a\r\n\r\n"}, "1", true},
		{"id: 1\ndata: a\n\nid: 2\nda", []string{"id: 1\ndata: a\n\n"}, "1", false},
		{"id: 1\ndata: a\n\nid: 2\ndata: b\n", []string{"id: 1\ndata: a\n\n"}, "1", false},
		{": note\n\nid: 1\ndata: a\n\ndata: b\n\n", []string{": note\n\n", "id: 1\ndata: a\n\n", "data: b\n\n"}, "1", true},
		{"", nil, "", true},
	} {
		s := streamer.New(iotest.OneByteReader(strings.NewReader(test.text)))
		var got []string
		var err error
		for {
			var event []byte
			if event, err = s.Next(); err != nil {
				break
			}
			got = append(got, string(event))
		}
		if fmt.Sprint(got) != fmt.Sprint(test.want) || s.LastEventID() != test.id || errors.Is(err, io.EOF) != test.whole {
			t.Errorf("%q: got %q, id %q and %v, want %q, id %q and whole %v", test.text, got, s.LastEventID(), err, test.want, test.id, test.whole)
		}
		if !test.whole && !errors.Is(err, fault.Interrupted) {
			t.Errorf("%q: got %v, want %v", test.text, err, fault.Interrupted)
		}
	}
}
