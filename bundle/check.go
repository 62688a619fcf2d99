package bundle

import (
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"math"
	"regexp"
	"slices"
	"time"

	"auburngap/request"
)

// Limits on the values of a bundle.
const (
	// MaxTimeout is the maximum timeout of routes and services.
	MaxTimeout = 10 * time.Minute
	// MaxRetryBudget is the maximum number of retries of one customer request.
	MaxRetryBudget = 64
	// MaxShards is the maximum number of shards of one availability zone.
	MaxShards = 1024
)

// zoneShareTolerance is the allowed deviation of the sum of the zone shares from 1.
const zoneShareTolerance = 1e-6

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// checker collects the faults of a bundle.
type checker struct {
	bundle *Bundle
	faults []Fault
}

// Check returns every fault of the bundle. A bundle without faults may be signed.
func (b *Bundle) Check() []Fault {
	c := &checker{bundle: b}
	c.checkOperators()
	c.checkZones()
	c.checkWorkspaces()
	c.checkKeys()
	c.checkServices()
	c.checkCallGraph()
	c.checkRoutes()
	c.checkRouteOverlaps()
	c.checkPolicy()
	return c.faults
}

func (c *checker) addFault(field, format string, args ...any) {
	c.faults = append(c.faults, Fault{Field: field, Allowed: fmt.Sprintf(format, args...)})
}

func (c *checker) require(ok bool, field, format string, args ...any) {
	if !ok {
		c.addFault(field, format, args...)
	}
}

// checkNames checks that a list is not empty and that its checkNames are valid and unique.
func (c *checker) checkNames(list string, count int, name func(int) string) {
	c.require(count > 0, list, "at least one is needed")
	seen := make(map[string]int)
	for i := range count {
		field := fmt.Sprintf("%s[%d].name", list, i)
		n := name(i)
		c.require(namePattern.MatchString(n), field, "%q is not a valid name; allowed are at most 63 of a-z, 0-9 and -, not beginning with -", n)
		if first, duplicate := seen[n]; duplicate {
			c.addFault(field, "%q is already the name of %s[%d]", n, list, first)
			continue
		}
		seen[n] = i
	}
}

func (c *checker) checkOperators() {
	b := c.bundle
	c.checkNames("operators", len(b.Operators), func(i int) string { return b.Operators[i].Name })
	c.require(b.SignOffs >= 1 && b.SignOffs <= max(len(b.Operators), 1), "signOffs", "%d is not between 1 and the number of operators, %d", b.SignOffs, len(b.Operators))
	seen := make(map[string]bool)
	for i, operator := range b.Operators {
		field := fmt.Sprintf("operators[%d].publicKey", i)
		c.require(isBase64OfSize(operator.PublicKey, ed25519.PublicKeySize), field, "an Ed25519 public key is needed: %d bytes in base64", ed25519.PublicKeySize)
		c.require(!seen[operator.PublicKey], field, "another operator has the same key")
		seen[operator.PublicKey] = true
	}
}

// isBase64OfSize reports whether text is the canonical base64 encoding of size bytes.
func isBase64OfSize(text string, size int) bool {
	decoded, err := base64.StdEncoding.Strict().DecodeString(text)
	return err == nil && len(decoded) == size && base64.StdEncoding.EncodeToString(decoded) == text
}

func (c *checker) checkZones() {
	b := c.bundle
	c.checkNames("zones", len(b.Zones), func(i int) string { return b.Zones[i].Name })
	for i, zone := range b.Zones {
		c.require(zone.Shards >= 1 && zone.Shards <= MaxShards, fmt.Sprintf("zones[%d].shards", i), "%d is not between 1 and %d", zone.Shards, MaxShards)
	}
}

func (c *checker) checkWorkspaces() {
	b := c.bundle
	c.checkNames("workspaces", len(b.Workspaces), func(i int) string { return b.Workspaces[i].Name })
	for i := range b.Workspaces {
		field := fmt.Sprintf("workspaces[%d]", i)
		w := &b.Workspaces[i]
		c.require(isPositiveFinite(w.Rate), field+".rate", "%v is not above 0 requests a second", w.Rate)
		c.require(w.Burst >= 1 && isPositiveFinite(w.Burst), field+".burst", "%v is not at least 1 request", w.Burst)
		c.require(isPositiveFinite(w.Weight), field+".weight", "%v is not above 0", w.Weight)
		c.require(w.Rank < request.Priorities, field+".rank", "%d is not below %d", w.Rank, request.Priorities)
		c.require(w.RefuseWhenOlder >= 0, field+".refuseWhenOlder", "a negative duration is not allowed")
		c.checkZoneShares(field+".zoneShares", w.ZoneShares)
	}
}

func isPositiveFinite(f float64) bool {
	return f > 0 && !math.IsInf(f, 0)
}

func (c *checker) checkZoneShares(field string, shares map[string]float64) {
	if len(shares) == 0 {
		return
	}
	sum := 0.0
	for _, zone := range sortedKeys(shares) {
		share := shares[zone]
		sum += share
		known := slices.ContainsFunc(c.bundle.Zones, func(z Zone) bool { return z.Name == zone })
		c.require(known, field+"."+zone, "no availability zone %q", zone)
		c.require(share >= 0 && share <= 1, field+"."+zone, "%v is not between 0 and 1", share)
	}
	c.require(math.Abs(sum-1) <= zoneShareTolerance, field, "the shares add up to %v, not 1", sum)
}

func (c *checker) checkKeys() {
	ids, hashes := make(map[string]bool), make(map[string]bool)
	for i, w := range c.bundle.Workspaces {
		for j, key := range w.Keys {
			field := fmt.Sprintf("workspaces[%d].keys[%d]", i, j)
			c.require(namePattern.MatchString(key.ID), field+".id", "%q is not a valid ID; allowed are a-z, 0-9 and -", key.ID)
			c.require(!ids[key.ID], field+".id", "another key has the ID %q", key.ID)
			c.require(isBase64OfSize(key.Hash, sha256.Size), field+".hash", "a SHA-256 is needed: %d bytes in base64", sha256.Size)
			c.require(!hashes[key.Hash], field+".hash", "another key has the same hash")
			ids[key.ID], hashes[key.Hash] = true, true
		}
	}
}

func (c *checker) checkPolicy() {
	margin := c.bundle.Policy.AdmissionMargin
	c.require(margin == 0 || (margin >= 1 && margin <= 3), "policy.admissionMargin", "%g is not from 1 to 3", margin)
}
