#!/usr/bin/env bash
# Plants one fault at a time in a safety check of the ownership packages or of the
# request path, in a copy of the module, and prints the tests that catch it as a row
# of docs/PLANTED.md. Fails if no test catches a fault, if the faulty code does not
# compile or a test times out, or if a pattern no longer matches.
set -uo pipefail
cd "$(dirname "$0")/.."
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
git ls-files | tar -cf - -T - | tar -xf - -C "$copy"
cd "$copy"

with_rapid="./core/mtclock ./core/mtwitness ./core/mttakeover"
without="./core/mtlease ./core/mtmember ./io/mtrenew"
missed=0
only=${1:-} # plants only faults whose name contains this text
from=${2:-} # skips the faults before the one with this name
started=

# tests prints the names of the tests that fail.
tests() {
	{
		# shellcheck disable=SC2086
		go test -timeout 60s -count=1 $with_rapid -rapid.shrinktime=1s -rapid.nofailfile 2>&1
		# shellcheck disable=SC2086
		go test -timeout 60s -count=1 $without 2>&1
	} | sed -nE 's/^--- FAIL: ([A-Za-z0-9_]+).*/\1/p; s/^FAIL.*\[build failed\]/BUILD/p; s/^panic: test timed out.*/TIMEOUT/p' | sort -u | paste -sd' ' -
}

# plant NAME FILE SED runs the tests with FILE edited by the sed program SED.
plant() {
	local name=$1 file=$2 edit=$3
	[[ $name == *${only}* ]] || return
	[[ -z $from || $name == "$from" ]] && started=yes
	[[ -n $started ]] || return
	cp "$file" "$file.orig"
	sed -E "$edit" "$file.orig" >"$file"
	if cmp -s "$file" "$file.orig"; then
		echo "| $name | PLACE NOT FOUND |"
		missed=1
	else
		local caught
		caught=$(tests)
		case "$caught" in
		"" | *BUILD* | *TIMEOUT*) missed=1 ;;
		esac
		echo "| $name | ${caught:-NONE} |"
	fi
	mv "$file.orig" "$file"
}

lease=core/mtlease/mtlease.go
witness=core/mtwitness/mtwitness.go
takeover=core/mttakeover/mttakeover.go
failover=core/mttakeover/failover.go
member=core/mtmember/mtmember.go
renew=io/mtrenew/exchange.go
packet=io/mtrenew/packet.go
fusion=core/mtclock/fusion.go

echo "| Fault planted | Caught by |"
echo "|---|---|"
plant "no drift margin at the witness" $lease 's|WitnessLength = Length \+ Length/DriftShare|WitnessLength = Length|'
plant "lease counted from the answer's receipt" $lease 's|p.end = at.Add\(Length\)|p.end = now.Add(Length)|'
plant "one promise of three is enough" $lease 's|return n/2 \+ 1|return (n + 2) / 3|'
plant "a set of no witnesses is a lease" $lease '/^func \(l \*Lease\) majority/,/^}/s|return 0|return 1 << 62|'
plant "only the old set counts while in doubt" $lease '/^func \(l \*Lease\) Until/,/^}/s|if l.attempted|if l.attempted \&\& l.closed|'
plant "only the new set counts while in doubt" $lease 's|until = min\(until, l.majority\(l.pending\)\)|until = l.majority(l.pending)|'
plant "a second proposal while the first is in doubt" $lease '/^func \(l \*Lease\) Propose/,/^}/s|if l.attempted|if l.attempted \&\& l.closed|'
plant "a promise counts under a set that its witness revoked" $lease 's/\|\| p.floor >= set.Version//'
plant "a revocation reported earlier is forgotten" $lease 's|p.floor = max\(p.floor, a.Floor\)|p.floor = a.Floor|'
plant "an answer that was refused counts" $lease 's/a.Refusal != Granted \|\| //'
plant "a late timer drops no promises" $lease 's|if now.Sub\(due\) <= MaxTimerDelay|if now.Sub(due) <= MaxTimerDelay \|\| true|'
plant "answers to requests from before a late timer count" $lease 's/ \|\| at.Before\(l.fresh\)//'
plant "a closed lease remains valid" $lease '/^func \(l \*Lease\) Until/,/^}/s|if l.closed|if l.closed \&\& l.attempted \&\& !l.proposed|'
plant "promise under a set that names the predecessor" $witness 's|if request.Witness != w.self|if request.Witness.Daemon != w.self.Daemon|'
plant "no wait after the start of a witness" $witness 's|w.started.Add\(mtlease.WitnessLength\).Sub\(now\); wait > 0|w.started.Sub(now); wait > 0|'
plant "a witness revokes before its promise ended" $witness 's|wait := until.Sub\(now\); wait > 0|wait := until.Sub(now); wait > mtlease.WitnessLength|'
plant "a witness forgets that it revoked" $witness 's|d.floor = max\(d.floor, r.Version\)|_ = r|'
plant "a witness promises to a previous incarnation" $witness 's/from.Incarnation < d.incarnation \|\| //'
plant "a promise to a previous incarnation isn't waited out" $witness 's|until = d.previousUntil$|until = 0|'
plant "a witness suspects peers before their heartbeats can have arrived" $witness '/^func \(w \*Witness\) Until/,/^}/s|until := .*|until := mtclock.Instant(0)|'
plant "one witness is enough for a claimant" $takeover 's/count >= mtlease.Majority\(len\(set\)\)/count >= 1/'
plant "agreements outlive the version of the record" $takeover 's|^\tt.agreed = make.*|\tif t.agreed == nil { t.agreed = make(map[mtid.Holder]bool) }|'
plant "replies for an earlier version count" $takeover 's/r.Version != t.version \|\| //'
plant "a takeover ends only by revocation of the newest incarnation" $takeover 's/t.record.Holder != t.target \|\| //'
plant "promises of a fenced witness count as expired too early" $lease 's|FencedExpiry = .*|FencedExpiry = WitnessLength|'
plant "a witness promises before its own incarnation is confirmed" $witness 's|if !confirmed|if !confirmed \&\& from.Incarnation == 0|'
plant "an incarnation that isn't revoked counts as fenced" core/mttakeover/fences.go 's|h.Incarnation < seen.revoked|h.Incarnation <= seen.revoked|'
plant "a fence counts from before it was observed" core/mttakeover/fences.go 's|since: now|since: 0|'
plant "shards of a living holder are given away" $failover 's|h.Incarnation < record.RevokedBelow|h.Incarnation <= record.RevokedBelow|'
plant "a daemon that left in order keeps its shards" $failover 's/ \|\| \(record.State == mtroster.Gone.*//'
plant "shards go to daemons that leave" $failover 's/ \&\& record.State == mtroster.Serving//'
plant "a record write with unknown outcome counts as failed" $member '/^func \(m \*Member\) WriteUnknown/,/^}/s|m.writing.uncertain = true|m.writing = nil|'
plant "a read of an older version settles an unknown outcome" $member 's|w != nil \&\& version == w.expected|w != nil \&\& version < w.expected|'
plant "a refused second try settles the first" $member '/^func \(m \*Member\) WriteRejected/,/^}/s|if m.writing.uncertain|if m.writing.uncertain \&\& m.revoked|'
plant "another daemon's write counts as the own" $member 's/w != nil \&\& record.WriteID == w.record.WriteID/w != nil/; s/ \&\& m.record.WriteID.Writer == h//'
plant "registration without fencing the previous incarnation" $member 's/len\(m.record.Witnesses\) > 0 \&\& m.fenced != m.version/len(m.record.Witnesses) > 99/'
plant "fencing outlives the version of the record" $member 's/m.fenced != m.version/m.fenced == 0/'
plant "a revoked registration is entered" $member 's/m.record.WriteID.Writer == h \&\& m.record.MayHoldLease\(\)/m.record.WriteID.Writer == h/; s/\|\| record.RevokedBelow > m.holder.Incarnation/\|\| false/'
plant "new addresses are not published" $member 's/case m.mustFence\(\) \&\& !m.published\(\)/case m.mustFence() \&\& !m.published() \&\& m.revoked/'
plant "an older read replaces a newer one" $member 's/if version < m.version/if version < m.version \&\& m.revoked/'
plant "an answer to a previous incarnation counts" $renew 's|!= r.lease.Holder\(\).Incarnation|== 99|'
plant "no replay window" $packet 's|return false$|return true|'
plant "tags are not checked" $packet 's|hmac.Equal\(tag, s.tag\(self, body\)\)|hmac.Equal(tag, tag)|'
plant "tags don't name the receiver" $packet 's|\[\]byte\(to\)|[]byte(nil)|'
plant "only the monotonic clock counts" $fusion 's|max\(r.Monotonic-f.anchor.Monotonic.*|max(r.Monotonic-f.anchor.Monotonic, 0)|'
plant "a wall clock set back hides a freeze" $fusion 's/ \|\| r.Wall < f.anchor.Wall//'

# The request path, planned moves and the local copy of the live state.
with_rapid="./core/mtmove ./core/mtview ./core/mtshard"
without="./io/mtserver ./io/mtrelay ./io/mtowner ./io/mtrouter ./io/mtsync ./io/mtmover"
view=core/mtview/mtview.go
move=core/mtmove/mtmove.go
shard=core/mtshard/mtshard.go
origin=core/mtshard/origin.go
relay=io/mtrelay/mtrelay.go
server=io/mtserver/mtserver.go
conn=io/mtserver/conn.go
owner=io/mtowner/mtowner.go
recent=io/mtowner/recent.go
router=io/mtrouter/mtrouter.go
sync=io/mtsync/mtsync.go
mover=io/mtmover/mtmover.go
plant "the frontier passes a gap" $view 's/ \&\& d.After <= next.frontier//'
plant "the frontier passes a value that can't be read" $view 's/failed == nil \&\& d.After/d.After/'
plant "an older value replaces a newer one" $view 's/item.Revision <= old.revision \|\| item.Version < old.version/item.Revision == old.revision/'
plant "a table write with unknown outcome counts as failed" $move 's/if mv.outcomeUnknown \{/if mv.outcomeUnknown \&\& m.limit < 0 {/'
plant "a shard that was split meanwhile is moved whole" $move 's/high != mv.high:/high < mv.high \&\& high > mv.high:/'
plant "two writes of a chunk at once" $move 's/if m.inFlight\[c\] != nil/if m.inFlight[c] != nil \&\& m.limit < 0/'
plant "a slow move is never given up" $move 's/now.Sub\(mv.phaseSince\) < PhaseTimeout/now.Sub(mv.phaseSince) >= 0/'
plant "a merge keeps the lower epoch" $shard 's/before.Epoch = max\(before.Epoch, t.Shards\[i\].Epoch\)/before.Epoch = min(before.Epoch, t.Shards[i].Epoch)/'
plant "a move keeps the epoch" $shard '/^func \(o Move\) apply/,/^}/s/t.Shards\[i\].Epoch = t.allocateEpoch\(\)/_ = t.allocateEpoch()/'
plant "a handover of another's move is trusted" $origin 's/ \&\& step.WriteID.Writer == from//'
plant "a handover before a failover is trusted" $origin '/^func \(t \*Table\) MovedByHandover/,/^}/s/case Failover, Evict, Create:/case Create:/'
plant "a shard of a lost owner counts as new" $origin 's/return s.Epoch <= allocated/return s.Epoch <= allocated+99/'
plant "a lost relay is told not run" $relay 's/if !sent.Load\(\) \{/if sent != nil {/'
plant "a reply for another request is passed on" $relay 's/err != nil \|\| id != r.ID/err != nil \&\& id != r.ID/'
plant "a lost reply of the server is reported as not run" $conn 's/return u.conn.writes.Load\(\) != u.before/return false/'
plant "net/http may send a request again" $server 's/len\(r.Body\) > 0 \|\| retriedByTransport\(r.Method\)/len(r.Body) > 0/'
plant "a server's reply to another request is passed on" $server 's/if response.Header.Get\(mtheader.ID\) != call.Request.ID.String\(\)/if response == nil/'
plant "shards of a previous incarnation are served" $owner 's/if shard.Owner != holder \{/if shard.Owner.Daemon != holder.Daemon {/'
plant "served without a lease" $owner '/^func \(o \*Owner\) fence/,/^}/s/if !now.Before\(until\)/if !now.Before(until) \&\& holder.IsZero()/'
plant "runs outlive the lease" $owner 's/r.holder != holder \|\| !now.Before\(until\)/r.holder != holder \|\| until < 0/'
plant "ownership isn't rechecked after the gate" $owner '/^func \(o \*Owner\) run\(/,/^}/s/f, err := o.fence\(now, r, service\)/f, err := o.fence(now, r, service); err = nil/'
plant "every import is trusted" $recent 's/ok \&\& table.MovedByHandover\(shard.Low, pending.from, self\) \&\&/ok \&\& pending.high >= 0 \&\&/'
plant "a refused retry undoes an unknown outcome" $router 's/reply.Outcome == mtreply.Unknown \&\& unknown == nil/reply.Outcome == mtreply.Answered/'
plant "a resend to a spread service is accepted" $router 's/if !class.Idempotent \&\& !q.Minted/if !class.Idempotent \&\& !q.Minted \&\& q.Deadline < 0/'
plant "a correction from a daemon with an older frontier is followed" $router 's/ \|\| reply.Frontier < r.View.Snapshot\(\).Frontier\(\)//'
plant "a gap is never filled" $sync 's/case errors.As\(err, \&gap\) \&\& !full:/case errors.As(err, \&gap) \&\& full:/'
plant "a written table isn't applied before the release" $mover 's/^\t\tm.applyWritten\(mtview.Item\{Name: name, Version: version, Value: value\}\)$/\t\t_ = version/'
plant "a rejected handover is ignored" io/mtmover/peer.go '/^func \(m \*Mover\) sendRecent/,/^}/s/if !reply.GetTaken\(\)/if reply == nil/'
plant "a handover goes to a previous incarnation" io/mtmover/peer.go '/^func \(s server\) Handover/,/^}/s/to != s.m.Self\(\)/to.Daemon == ""/'
plant "an unanswered write counts as not applied" $mover 's/return table, mtmove.OutcomeUnknown/return table, mtmove.Unavailable/'
exit $missed
