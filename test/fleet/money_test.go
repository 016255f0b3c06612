package fleet

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// books is the part of the books of the venture that the tests look at.
type books struct {
	Phase    string
	Missing  []string
	Accounts []struct {
		Account                                                                               string
		Prepaid, Topups, Unassigned, Assigned, Free, Allowances, Billed, Stranded, Refundable int64
	}
}

func (f *fleet) books(i int) (books, error) {
	var b books
	text, err := f.client(i).Call(f.t.Context(), http.MethodGet, "/v1/books", nil)
	if err != nil {
		return b, err
	}
	return b, json.Unmarshal(text, &b)
}

// balanced checks that the books of all accounts add up.
func (b books) balanced() error {
	for _, a := range b.Accounts {
		if a.Prepaid+a.Topups != a.Unassigned+a.Assigned+a.Refundable {
			return fmt.Errorf("account %s: %+v: log does not add up", a.Account, a)
		}
		if a.Assigned != a.Free+a.Allowances+a.Billed+a.Stranded {
			return fmt.Errorf("account %s: %+v: zones do not add up", a.Account, a)
		}
	}
	return nil
}

// A holder that loses its data folder, and loses it again after the repair,
// must come back with every bill and without new tokens.
func TestLostDiskTwice(t *testing.T) {
	f := start(t, []int{2, 1, 1}, 100_000, false)
	f.engine("engine-a", "a", []int{0, 1})
	f.routes(0)
	f.routes(1)
	sent := 0
	for range 2 {
		for range 3 {
			f.eventually("serve", func() error {
				if a := f.chat(1, "hello", 4, false, fmt.Sprintf("chat-%d", sent)); a.status != http.StatusOK {
					return fmt.Errorf("got %d %s", a.status, a.body)
				}
				return nil
			})
			sent++
		}
		f.bills(1, sent)
		f.kill("a1")
		if err := os.RemoveAll(filepath.Join(f.dir, "data", "a1")); err != nil {
			t.Fatal(err)
		}
		f.serve(0)
		s := f.bills(1, sent)
		if s.Prepaid != s.Unassigned+s.Assigned {
			t.Errorf("after the loss: %+v does not add up", s)
		}
	}
	f.eventually("balance", func() error {
		b, err := f.books(1)
		if err == nil {
			err = b.balanced()
		}
		return err
	})
}

// After the loss of a disk whose latest bills had no copy, those bills must be
// on the statement, and the account must be able to spend its whole budget
// without a dissolution.
func TestStrandedRightsBecomeFree(t *testing.T) {
	f := start(t, []int{2, 1, 1}, 2_000, true)
	f.engine("engine-a", "a", []int{0, 1})
	f.routes(0)
	f.routes(1)
	chat := func() error {
		if a := f.chat(0, "hello", 40, false, ""); a.status != http.StatusOK {
			return fmt.Errorf("got %d %s", a.status, a.body)
		}
		return nil
	}
	// The copies of the journal are whole some time after the start.
	time.Sleep(2 * time.Second)
	f.eventually("serve", chat)
	f.cut(func(i int) bool { return i < 2 }, true)
	for range 3 {
		f.eventually("serve in the cut zone", chat)
	}
	f.kill("a1")
	f.cut(func(i int) bool { return i < 2 }, false)
	if err := os.RemoveAll(filepath.Join(f.dir, "data", "a1")); err != nil {
		t.Fatal(err)
	}
	f.serve(0)
	restarted := time.Now()
	f.bills(1, 4)
	f.eventually("free the stranded rights", func() error {
		s, err := f.statement(1)
		if err == nil && (s.Stranded > 0 || len(s.Missing) > 0) {
			err = fmt.Errorf("%+v", s)
		}
		return err
	})
	t.Logf("free %v after the restart", time.Since(restarted).Round(time.Second))
	f.routes(0)
	f.eventually("spend the whole budget", func() error {
		refused := chat()
		s, err := f.statement(1)
		if err == nil && s.Billed < s.Prepaid-100 {
			err = fmt.Errorf("billed %d of %d, last request: %w", s.Billed, s.Prepaid, refused)
		}
		if err == nil && s.Billed > s.Prepaid {
			t.Fatalf("billed %d of %d", s.Billed, s.Prepaid)
		}
		return err
	})
}

// While the holder of a zone is down, the other instances of the zone must go
// on serving, and what they bill meanwhile must be on the statement.
func TestHolderDies(t *testing.T) {
	f := start(t, []int{2, 1, 1}, 100_000, false)
	f.engine("engine-a", "a", []int{1})
	f.routes(1)
	for n := range 3 {
		if a := f.chat(1, "hello", 4, false, ""); a.status != http.StatusOK {
			t.Fatalf("request %d: got %d %s", n, a.status, a.body)
		}
	}
	f.kill("a1")
	served := 0
	deadline := time.Now().Add(10 * time.Second)
	for time.Now().Before(deadline) && served < 5 {
		if a := f.chat(1, "hello", 4, false, ""); a.status == http.StatusOK {
			served++
		} else if _, run := a.code(); run == "" {
			t.Errorf("refusal without the truth: %d %q", a.status, a.body)
		}
		time.Sleep(100 * time.Millisecond)
	}
	if served < 5 {
		t.Errorf("served %d requests in 10 s without the holder, want 5", served)
	}
	f.serve(0)
	f.bills(1, 3+served)
}

// The venture must close with books that add up to the token, and closing
// again must change nothing.
func TestDissolution(t *testing.T) {
	f := start(t, []int{2, 1, 1}, 100_000, false)
	f.engine("engine-a", "a", []int{0})
	for i := range f.names[:3] {
		f.routes(i)
	}
	for n := range 6 {
		if a := f.chat(n%3, "hello", 4, false, ""); a.status != http.StatusOK {
			t.Fatalf("request %d: got %d %s", n, a.status, a.body)
		}
	}
	billed := f.bills(0, 6).Billed
	var closed books
	for range 2 {
		if _, err := f.client(0).Call(t.Context(), http.MethodPost, "/v1/dissolution", nil); err != nil {
			t.Fatal(err)
		}
		f.eventually("close", func() (err error) {
			closed, err = f.books(0)
			if err == nil && closed.Phase != "closed" {
				err = fmt.Errorf("phase %s, %+v", closed.Phase, closed.Accounts)
			}
			return err
		})
		for _, a := range closed.Accounts {
			if a.Prepaid+a.Topups != a.Billed+a.Refundable {
				t.Errorf("account %s: prepaid %d, top-ups %d, billed %d, refundable %d do not add up", a.Account, a.Prepaid, a.Topups, a.Billed, a.Refundable)
			}
			if a.Account == "wondimu" && a.Billed != billed {
				t.Errorf("billed: got %d, want %d", a.Billed, billed)
			}
		}
	}
	f.eventually("refuse after the end", func() error {
		a := f.chat(1, "hello", 4, false, "")
		if code, run := a.code(); code != "closed" || run != "no" {
			return fmt.Errorf("got %d %s run=%s", a.status, code, run)
		}
		return nil
	})
}

// An instance that is frozen while the venture is dissolved must not keep the
// books open, and what it answers afterwards must not be billed.
func TestDissolutionWithFrozenInstance(t *testing.T) {
	f := start(t, []int{2, 1, 1}, 100_000, false)
	f.engine("engine-a", "a", []int{0}, slow...)
	f.routes(1)
	stream := f.later(1, 40, "")
	f.signal("a2", syscall.SIGSTOP)
	if _, err := f.client(0).Call(t.Context(), http.MethodPost, "/v1/dissolution", nil); err != nil {
		t.Fatal(err)
	}
	var closed books
	f.eventually("close", func() (err error) {
		closed, err = f.books(0)
		if err == nil && closed.Phase != "closed" {
			err = fmt.Errorf("phase %s, %+v", closed.Phase, closed.Accounts)
		}
		return err
	})
	f.signal("a2", syscall.SIGCONT)
	if a := <-stream; strings.Contains(a.body, "[DONE]") {
		t.Errorf("stream after the closing: got %q, want no success", a.body)
	}
	for _, a := range closed.Accounts {
		if a.Billed != 0 || a.Refundable != a.Prepaid+a.Topups {
			t.Errorf("account %s: billed %d, refundable %d; want nothing billed", a.Account, a.Billed, a.Refundable)
		}
	}
}

// After a lost disk the venture must still close, with the stranded rights
// refunded.
func TestDissolutionAfterLostDisk(t *testing.T) {
	f := start(t, []int{2, 1, 1}, 100_000, false)
	f.engine("engine-a", "a", []int{0, 1})
	f.routes(1)
	for n := range 3 {
		if a := f.chat(1, "hello", 4, false, ""); a.status != http.StatusOK {
			t.Fatalf("request %d: got %d %s", n, a.status, a.body)
		}
	}
	billed := f.bills(1, 3).Billed
	f.kill("a1")
	if err := os.RemoveAll(filepath.Join(f.dir, "data", "a1")); err != nil {
		t.Fatal(err)
	}
	f.serve(0)
	f.bills(1, 3)
	if _, err := f.client(1).Call(t.Context(), http.MethodPost, "/v1/dissolution", nil); err != nil {
		t.Fatal(err)
	}
	var closed books
	f.eventually("close", func() (err error) {
		closed, err = f.books(1)
		if err == nil && closed.Phase != "closed" {
			err = fmt.Errorf("phase %s, %+v", closed.Phase, closed.Accounts)
		}
		return err
	})
	for _, a := range closed.Accounts {
		if a.Account == "wondimu" && (a.Billed != billed || a.Refundable != a.Prepaid-billed) {
			t.Errorf("got %+v, want %d billed and the rest refundable", a, billed)
		}
	}
}

// A request whose caller retries it on the other side of a partition runs on
// both sides, but must be billed once when the partition has healed.
func TestRetryAcrossPartition(t *testing.T) {
	f := start(t, []int{1, 1, 1}, 100_000, true)
	for i, zone := range []string{"a", "b", "c"} {
		f.engine("engine-"+zone, zone, []int{i})
		f.routes(i)
	}
	f.cut(func(i int) bool { return i == 2 }, true)
	time.Sleep(4 * time.Second)
	for _, i := range []int{0, 2, 0, 2} {
		if a := f.chat(i, "A quote, please.", 6, false, "quote-1"); a.status != http.StatusOK {
			t.Errorf("request through %s: got %d %s", f.names[i], a.status, a.body)
		}
	}
	f.cut(func(i int) bool { return i == 2 }, false)
	s := f.bills(0, 1)
	if s.Billed != s.Bills[0].Amount {
		t.Errorf("billed: got %d, want the one bill of %d", s.Billed, s.Bills[0].Amount)
	}
	f.eventually("balance", func() error {
		b, err := f.books(0)
		if err == nil {
			err = b.balanced()
		}
		return err
	})
}
