package settings

import "testing"

// FuzzParse parses arbitrary settings files: those that are accepted are valid.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"role":"entry","name":"e","data_centre":"z1"}`))
	f.Add([]byte(`{"role":"agent","stop_timeout":"-1s"}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse(data)
		if err != nil {
			return
		}
		if err := s.Validate(); err != nil {
			t.Errorf("accepted settings are not valid: %v", err)
		}
	})
}
