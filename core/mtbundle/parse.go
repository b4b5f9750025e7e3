package mtbundle

import (
	"crypto/ed25519"
	"encoding/base64"
	"fmt"
	"strconv"
	"time"

	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtini"
	"magnoliaturn/core/mtshard"
)

// Fault is one mistake in a bundle's text.
type Fault = mtini.Fault

// Faults are all mistakes in a bundle's text.
type Faults = mtini.Faults

// Bounds of the values in a bundle.
const (
	MaxServices = 256
	MaxClasses  = 32 // per service
	MaxSigners  = 64
	MaxShards   = 65536
	MaxChunks   = mtshard.MaxChunks
	MaxTimeout  = 5 * time.Minute
	MinTimeout  = time.Millisecond
	MaxQueue    = 65536
	MaxRate     = 1e7
	MaxWeight   = 1000
	MaxPriority = 100
)

// Defaults of optional fields.
const (
	defaultShards  = 64
	defaultQueue   = 256
	defaultTimeout = time.Second
)

// minSigners ensures that a signer remains besides the proposer, who must not sign.
const minSigners = 2

// Parse parses and validates a bundle's text. It returns the bundle, or all
// faults of the text at once. Parse leaves the proposer empty: the text does not
// contain it, since it is the operator who submits the text.
func Parse(file string, text []byte) (*Bundle, Faults) {
	f := mtini.Read(file, text)
	f.CheckKinds(map[string]int{"bundle": 0, "signer": 1, "service": 1, "class": 2})
	head := f.RequiredSection("bundle")
	b := &Bundle{
		Business: mtid.Business(head.Name("business")),
		Version:  parseVersion(head),
	}
	b.Signers = parseSigners(f, head)
	b.Needed = head.Int("signatures", 1, 1, max(1, len(b.Signers)-1))
	b.Services = parseServices(f, head)
	if faults := f.Faults(); len(faults) > 0 {
		return nil, faults
	}
	return b, nil
}

func parseVersion(head *mtini.Section) mtid.Version {
	const accept = "a whole number from 1, one above the version in force"
	text := head.Required("version", accept)
	n, err := strconv.ParseUint(text, 10, 63)
	if text != "" && (err != nil || n == 0) {
		head.AddFault("version", text, accept)
	}
	return mtid.Version(n)
}

func parseSigners(f *mtini.File, head *mtini.Section) []Signer {
	signers := readSigners(f)
	if len(signers) < minSigners || len(signers) > MaxSigners {
		head.AddFault("", strconv.Itoa(len(signers))+" signers", fmt.Sprintf("%d to %d [signer name] sections", minSigners, MaxSigners))
	}
	return signers
}

func readSigners(f *mtini.File) []Signer {
	var signers []Signer
	signerOfKey := make(map[string]string)
	for _, s := range f.SectionsOfKind("signer", 1) {
		text := s.Required("key", acceptKey)
		key, err := base64.StdEncoding.DecodeString(text)
		if text != "" && (err != nil || len(key) != ed25519.PublicKeySize) {
			s.AddFault("key", text, acceptKey)
		}
		// With the same key under two names, one person would count as two signers.
		if other, ok := signerOfKey[string(key)]; ok && len(key) > 0 {
			s.AddFault("key", text, "a key of its own; signer "+other+" has this one")
		}
		signerOfKey[string(key)] = s.Word(1)
		signers = append(signers, Signer{Name: s.Word(1), Key: key})
	}
	return signers
}

const acceptKey = "an Ed25519 public key of 32 bytes in base64"

func parseServices(f *mtini.File, head *mtini.Section) []Service {
	var services []Service
	for _, s := range f.SectionsOfKind("service", 1) {
		services = append(services, parseService(f, s))
	}
	if len(services) < 1 || len(services) > MaxServices {
		head.AddFault("", strconv.Itoa(len(services))+" services", fmt.Sprintf("1 to %d [service name] sections", MaxServices))
	}
	for _, c := range f.SectionsOfKind("class", 2) {
		if _, ok := f.OptionalSection("service " + c.Word(1)); !ok {
			c.AddFault("", c.Word(1), "a service of this bundle")
			parseClass(c)
		}
	}
	return services
}

// chunksFor returns the default number of chunks that a service's assignment is
// stored in: one for each hundred shards, rounded up. Chunks are small because a
// daemon that watches the store reads a whole chunk for each write (see
// PLACEMENT.md).
func chunksFor(shards int) int {
	const shardsPerChunk = 100
	return min(max((shards+shardsPerChunk-1)/shardsPerChunk, 1), MaxChunks)
}

func parseService(f *mtini.File, s *mtini.Section) Service {
	if !mtini.IsName(s.Word(1)) {
		s.AddFault("", s.Word(1), "a name of up to 63 characters")
	}
	service := Service{
		Name: mtid.Service(s.Word(1)),
		Kind: Kind(s.Choice("kind", string(Keyed), string(Spread))),
		Weights: Weights{
			Imbalance:      s.Float("imbalance", 1, 0, MaxWeight),
			Churn:          s.Float("churn", 1, 0, MaxWeight),
			Unavailability: s.Float("unavailability", 1, 0, MaxWeight),
		},
		Shards: s.Int("shards", defaultShards, 1, MaxShards),
	}
	service.Chunks = s.Int("chunks", chunksFor(service.Shards), 1, min(MaxChunks, max(service.Shards, 1)))
	for _, c := range f.SectionsOfKind("class", 2) {
		if c.Word(1) == s.Word(1) {
			service.Classes = append(service.Classes, parseClass(c))
		}
	}
	if len(service.Classes) < 1 || len(service.Classes) > MaxClasses {
		s.AddFault("", strconv.Itoa(len(service.Classes))+" classes", fmt.Sprintf("1 to %d [class %s name] sections", MaxClasses, s.Word(1)))
	}
	return service
}

func parseClass(c *mtini.Section) Class {
	if !mtini.IsName(c.Word(2)) {
		c.AddFault("", c.Word(2), "a name of up to 63 characters")
	}
	class := Class{
		Name:       mtid.Class(c.Word(2)),
		Idempotent: c.Choice("idempotent", "no", "yes") == "yes",
		Timeout:    c.Duration("timeout", defaultTimeout, MinTimeout, MaxTimeout),
		Priority:   c.Int("priority", 1, 0, MaxPriority),
		Queue:      c.Int("queue", defaultQueue, 0, MaxQueue),
		Share:      c.Float("share", 1, 0.001, MaxWeight),
		Rate:       c.Float("rate", 0, 0, MaxRate),
		Retries:    c.Float("retries", 0, 0, 1),
	}
	return class
}
