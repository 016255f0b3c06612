package account

import (
	"fmt"
	"testing"
)

// A change of the hash format would lock out every configured key.
func ExampleHash() {
	fmt.Println(Hash([]byte("0f3a9c71"), "key of the mill"))
	// Output: 3066336139633731:d8c5455be0ea8a890d5c2af68f7a036c719bb5ea87c18ffc3616c285b9e0c356
}

// Copies that share the backing array of a slice would overwrite each other's
// keys.
func TestCopiesAreIndependent(t *testing.T) {
	base := New("mill", 10).WithKeys("a", "b", "c")
	first, second := base.WithKeys("d"), base.WithKeys("e")
	if got, want := fmt.Sprint(first.Keys, second.Keys), "[a b c d] [a b c e]"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}
