package mtini_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtini"
)

func TestReadValues(t *testing.T) {
	tests := []struct{ name, line, want string }{
		{"plain", "name = value", "value"},
		{"no blanks around equals sign", "name=value", "value"},
		{"semicolon comment", "name = value ; can't say \"more\"", "value"},
		{"hash comment", "name = value\t# more", "value"},
		{"not a comment", "name = a;b#c", "a;b#c"},
		{"equals sign", "name = a=b==", "a=b=="},
		{"carriage return", "name = value\r", "value"},
		{"variable", "name = %(other)s", "%(other)s"},
		{"empty", "name =", ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := mtini.Read("x.ini", []byte("[a]\nother = o\n"+test.line+"\n"))
			s := f.RequiredSection("a")
			assert.Equal(t, s.Text("other", ""), "o")
			assert.Equal(t, s.Text("name", "absent"), test.want)
			assert.NilError(t, f.Faults().Err())
		})
	}
}

func TestReadReportsFaults(t *testing.T) {
	tests := []struct {
		name, text string
		line       int
	}{
		{"quoted", "[a]\nx = \"y\"", 2},
		{"triple quote that would span the remaining text", "[a]\nx = \"\"\"\n[b]\n", 2},
		{"backtick", "[a]\nx = `y", 2},
		{"continuation", "[a]\nx = y\\\nz = 1", 2},
		{"field before any section", "x = 1", 1},
		{"no delimiter", "[a]\nx", 2},
		{"colon", "[a]\nx: 1", 2},
		{"duplicate section", "[a]\n[a]", 2},
		{"duplicate name", "[a]\nx = 1\nx = 1", 3},
		{"section without closing bracket", "[a", 1},
		{"upper-case name", "[a]\nX = 1", 2},
		{"not UTF-8", "[a]\nx = \xff", 2},
		{"too long", strings.Repeat("#", mtini.MaxText+1), 0},
		{"field that is never read", "[a]\nx = 1", 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := mtini.Read("x.ini", []byte(test.text))
			for _, fault := range f.Faults() {
				if fault.Line == test.line {
					return
				}
			}
			t.Fatalf("no fault on line %d: %v", test.line, f.Faults())
		})
	}
}
