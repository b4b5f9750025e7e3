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

// Change is one field that differs between two bundles. Old is empty for a
// field that is new, New for one that is gone.
type Change struct {
	Field string `json:"field"`
	Old   string `json:"old"`
	New   string `json:"new"`
}

// field is one line of a bundle with its defaults filled in.
type field struct {
	name  string
	value string
}

// Diff returns what differs in effect, in the order of the new bundle, then
// what is gone. Comments and the order of lines play no part. Both may be nil.
func Diff(before, after *Bundle) []Change {
	old, fresh := before.fields(), after.fields()
	var changes []Change
	for _, f := range fresh {
		i := slices.IndexFunc(old, func(o field) bool { return o.name == f.name })
		switch {
		case i < 0:
			changes = append(changes, Change{Field: f.name, New: f.value})
		case old[i].value != f.value:
			changes = append(changes, Change{Field: f.name, Old: old[i].value, New: f.value})
		}
	}
	for _, o := range old {
		if !slices.ContainsFunc(fresh, func(f field) bool { return f.name == o.name }) {
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
		{title + "imbalance", number(s.Weights.Imbalance)},
		{title + "churn", number(s.Weights.Churn)},
		{title + "unavailability", number(s.Weights.Unavailability)},
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
			field{title + "share", number(c.Share)},
			field{title + "rate", number(c.Rate)},
			field{title + "retries", number(c.Retries)},
		)
	}
	return out
}

func number(v float64) string { return strconv.FormatFloat(v, 'g', -1, 64) }

// Renumber returns a good bundle's text with another version, for a rollback:
// the old text under a new number. Comments stay as they are.
func Renumber(text []byte, version mtid.Version) []byte {
	lines := bytes.Split(bytes.Clone(text), []byte("\n"))
	inside := false
	for i, line := range lines {
		trimmed := strings.TrimSpace(string(line))
		if strings.HasPrefix(trimmed, "[") {
			inside = trimmed == "[bundle]"
			continue
		}
		name, _, found := strings.Cut(trimmed, "=")
		if inside && found && strings.TrimSpace(name) == "version" {
			lines[i] = fmt.Appendf(nil, "version = %d", version)
		}
	}
	return bytes.Join(lines, []byte("\n"))
}
