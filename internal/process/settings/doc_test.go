package settings

import (
	"encoding/json"
	"maps"
	"os"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"
)

const page = "../../../docs/operators/SETTINGS.md"

// rowPattern matches a row of the page's tables: name, default, meaning.
var rowPattern = regexp.MustCompile("(?m)^\\| `([a-z0-9_.\\[\\]]+)` \\| ([^|]+) \\|")

// Texts in the column of defaults for settings without one.
const (
	required = "required"
	none     = "none"
)

// minimal holds the required settings of both roles.
var minimal = map[Role]string{
	RoleEntry: `{"role":"entry","name":"e1","data_centre":"nbo1","tls":{"ca":"a","cert":"b","key":"c"},
		"entry":{"caller_listen":"127.0.0.1:7001","peer_listen":"127.0.0.1:7000","store_url":"http://127.0.0.1:7300"}}`,
	RoleAgent: `{"role":"agent","name":"a1","data_centre":"nbo1","tls":{"ca":"a","cert":"b","key":"c"},
		"agent":{"entries":["127.0.0.1:7000"],"status_listen":"127.0.0.1:7002",
		"target":{"name":"r1","rack":"a","url":"http://127.0.0.1:7200","slots":8,"cpus":30,"memory_mb":130000}}}`,
}

// collectFields adds the dotted name and the value of each setting in v to out.
func collectFields(v reflect.Value, prefix string, out map[string]reflect.Value) {
	for v.Kind() == reflect.Pointer {
		if v.IsNil() {
			v = reflect.New(v.Type().Elem())
		}
		v = v.Elem()
	}
	for i := range v.NumField() {
		name, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("json"), ",")
		field := v.Field(i)
		switch elem := sectionOf(field.Type()); {
		case elem == nil:
			out[prefix+name] = field
		case field.Kind() == reflect.Slice:
			collectFields(reflect.New(elem), prefix+name+"[].", out)
		default:
			collectFields(field, prefix+name+".", out)
		}
	}
}

// sectionOf returns the struct type of a settings section, behind pointers and slices, or
// nil for a single setting.
func sectionOf(t reflect.Type) reflect.Type {
	for t.Kind() == reflect.Pointer || t.Kind() == reflect.Slice {
		t = t.Elem()
	}
	if t.Kind() == reflect.Struct {
		return t
	}
	return nil
}

// rowsOnPage returns the defaults on the page by the name of the setting.
func rowsOnPage(t *testing.T) map[string]string {
	t.Helper()
	b, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	rows := make(map[string]string)
	for _, m := range rowPattern.FindAllStringSubmatch(string(b), -1) {
		rows[m[1]] = strings.Trim(strings.TrimSpace(m[2]), "`")
	}
	return rows
}

// The page has a row for each setting, with the default that the program uses.
func TestPageListsEachSettingWithItsDefault(t *testing.T) {
	rows := rowsOnPage(t)
	known := make(map[string]bool)
	for role, text := range minimal {
		s, err := Parse([]byte(text))
		if err != nil {
			t.Fatal(err)
		}
		all := make(map[string]reflect.Value)
		collectFields(reflect.ValueOf(s), "", all)
		for _, name := range slices.Sorted(maps.Keys(all)) {
			known[name] = true
			checkRow(t, role, name, rows, all[name], strings.Contains(text, `"`+fieldName(name)+`"`))
		}
	}
	for _, name := range slices.Sorted(maps.Keys(rows)) {
		if !known[name] {
			t.Errorf("docs/operators/SETTINGS.md has a row for %s, which is not a setting", name)
		}
	}
}

func fieldName(name string) string { return name[strings.LastIndex(name, ".")+1:] }

// checkRow compares the default of a setting with that on the page. Settings that are given
// in the test's settings, belong to the other role or are in a list are not compared.
func checkRow(t *testing.T, role Role, name string, rows map[string]string, value reflect.Value, given bool) {
	t.Helper()
	text, ok := rows[name]
	if !ok {
		t.Errorf("docs/operators/SETTINGS.md has no row for %s", name)
		return
	}
	other := string(RoleEntry)
	if role == RoleEntry {
		other = string(RoleAgent)
	}
	if given || strings.HasPrefix(name, other+".") || strings.Contains(name, "[]") || text == required {
		return
	}
	b, err := json.Marshal(value.Interface())
	if err != nil {
		t.Fatal(err)
	}
	if value.IsZero() && text == none {
		return
	}
	if got := strings.Trim(string(b), `"`); got != text && !strings.HasPrefix(text, "that of ") {
		t.Errorf("%s: default on the page is %q, the program's is %q", name, text, got)
	}
}

func TestExamplesAreValid(t *testing.T) {
	for _, role := range []Role{RoleEntry, RoleAgent} {
		s, err := Load("../../../docs/operators/examples/" + string(role) + ".json")
		if err != nil {
			t.Errorf("%s: %v", role, err)
			continue
		}
		if s.Role != role {
			t.Errorf("%s: role %s", role, s.Role)
		}
	}
}

func TestInvalidCallersAreRefused(t *testing.T) {
	hash := strings.Repeat("ab", 32)
	for name, c := range map[string]struct{ section, want string }{
		"open address without callers": {`"caller_listen":"10.1.0.11:7001"`, "not a loopback address"},
		"open address without tls":     {`"caller_listen":"10.1.0.11:7001","callers":[{"token_sha256":"` + hash + `","operator":true}]`, "not a loopback address"},
		"short hash":                   {`"caller_listen":"127.0.0.1:7001","callers":[{"token_sha256":"ab","operator":true}]`, "64 hexadecimal digits"},
		"neither":                      {`"caller_listen":"127.0.0.1:7001","callers":[{"token_sha256":"` + hash + `"}]`, "either department or operator"},
		"both":                         {`"caller_listen":"127.0.0.1:7001","callers":[{"token_sha256":"` + hash + `","operator":true,"department":"desk"}]`, "either department or operator"},
		"tls without key":              {`"caller_listen":"127.0.0.1:7001","caller_tls":{"cert":"x"}`, "caller_tls needs cert and key"},
		"same token twice": {`"caller_listen":"127.0.0.1:7001","callers":[{"token_sha256":"` + hash + `","operator":true},
			{"token_sha256":"` + hash + `","department":"desk"}]`, "token of another"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Parse([]byte(strings.Replace(minimal[RoleEntry], `"caller_listen":"127.0.0.1:7001"`, c.section, 1)))
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("error %v, want %q", err, c.want)
			}
		})
	}
}
