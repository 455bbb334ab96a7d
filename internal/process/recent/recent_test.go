package recent

import (
	"slices"
	"testing"
	"time"
)

func TestIDsExpire(t *testing.T) {
	s := NewIDs(10*time.Second, 3)
	if !s.Add("a", 0) || s.Add("a", 5*time.Second) {
		t.Error("an identifier was added twice, or not at all")
	}
	s.Add("b", 8*time.Second)
	if !s.Has("a", 10*time.Second) || s.Has("a", 11*time.Second) || !s.Has("b", 11*time.Second) {
		t.Error("an identifier expired too early or too late")
	}
	if got := s.All(11 * time.Second); !slices.Equal(got, []string{"b"}) {
		t.Errorf("all: %v", got)
	}
	if !s.Add("a", 11*time.Second) {
		t.Error("an expired identifier was not added again")
	}
}

func TestIDsAreBounded(t *testing.T) {
	s := NewIDs(time.Hour, 2)
	for _, id := range []string{"a", "b", "c"} {
		s.Add(id, 0)
	}
	if got := s.All(0); !slices.Equal(got, []string{"b", "c"}) {
		t.Errorf("all: %v", got)
	}
}
