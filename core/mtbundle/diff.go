package mtbundle

import (
	"bytes"
	"encoding/base64"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"magnoliaturn/core/mtid"
)

// Change is one field that differs between two bundles. Old is empty for an
// added field, New for a removed one.
type Change struct {
	Field string `json:"field"`
	Old   string `json:"old"`
	New   string `json:"new"`
}

// field is the name and effective value of one bundle field, defaults included.
type field struct {
	name  string
	value string
}

// Diff returns the fields whose effective values differ: first those that are
// added or changed, in the order of the new bundle, then those that are removed.
// Comments and the order of lines are ignored. Either bundle may be nil.
func Diff(before, after *Bundle) []Change {
	oldFields, newFields := before.fields(), after.fields()
	var changes []Change
	for _, f := range newFields {
		i := slices.IndexFunc(oldFields, func(o field) bool { return o.name == f.name })
		switch {
		case i < 0:
			changes = append(changes, Change{Field: f.name, New: f.value})
		case oldFields[i].value != f.value:
			changes = append(changes, Change{Field: f.name, Old: oldFields[i].value, New: f.value})
		}
	}
	for _, o := range oldFields {
		if !slices.ContainsFunc(newFields, func(f field) bool { return f.name == o.name }) {
			changes = append(changes, Change{Field: o.name, Old: o.value})
		}
	}
	return changes
}

func (b *Bundle) fields() []field {
	if b == nil {
		return nil
	}
	out := []field{
		{"[bundle] business", string(b.Business)},
		{"[bundle] version", strconv.FormatUint(uint64(b.Version), 10)},
		{"[bundle] signatures", strconv.Itoa(b.Needed)},
	}
	for _, s := range b.Signers {
		out = append(out, field{"[signer " + s.Name + "] key", base64.StdEncoding.EncodeToString(s.Key)})
	}
	for i := range b.Services {
		out = append(out, b.Services[i].fields()...)
	}
	return out
}

func (s *Service) fields() []field {
	title := "[service " + string(s.Name) + "] "
	out := []field{
		{title + "kind", string(s.Kind)},
		{title + "imbalance", formatFloat(s.Weights.Imbalance)},
		{title + "churn", formatFloat(s.Weights.Churn)},
		{title + "unavailability", formatFloat(s.Weights.Unavailability)},
		{title + "shards", strconv.Itoa(s.Shards)},
		{title + "chunks", strconv.Itoa(s.Chunks)},
	}
	for _, c := range s.Classes {
		title := fmt.Sprintf("[class %s %s] ", s.Name, c.Name)
		out = append(out,
			field{title + "idempotent", map[bool]string{true: "yes", false: "no"}[c.Idempotent]},
			field{title + "timeout", c.Timeout.String()},
			field{title + "priority", strconv.Itoa(c.Priority)},
			field{title + "queue", strconv.Itoa(c.Queue)},
			field{title + "share", formatFloat(c.Share)},
			field{title + "rate", formatFloat(c.Rate)},
			field{title + "retries", formatFloat(c.Retries)},
		)
	}
	return out
}

func formatFloat(v float64) string { return strconv.FormatFloat(v, 'g', -1, 64) }

// Renumber returns the text of a valid bundle with another version number. A
// rollback brings an old text back into force under a new number. Comments are
// preserved.
func Renumber(text []byte, version mtid.Version) []byte {
	lines := bytes.Split(bytes.Clone(text), []byte("\n"))
	inHead := false // within the [bundle] section
	for i, line := range lines {
		trimmed := strings.TrimSpace(string(line))
		if strings.HasPrefix(trimmed, "[") {
			inHead = trimmed == "[bundle]"
			continue
		}
		name, _, found := strings.Cut(trimmed, "=")
		if inHead && found && strings.TrimSpace(name) == "version" {
			lines[i] = fmt.Appendf(nil, "version = %d", version)
		}
	}
	return bytes.Join(lines, []byte("\n"))
}
